package org.baobabknot.fleet;

/**
 * How long a process waits for the sources of its values before it looks elsewhere, so
 * that a change is in force in time although any two sources are silent, or respond
 * without knowing anything new. Silence is no sign that nothing has changed: a process
 * acts on values only as long as somebody who reaches the store has confirmed them.
 *
 * @param confirmMs longest time between two confirmations by the store, in ms
 * @param waitMs time for which a source waits for a change before it responds, in ms
 * @param searchWaitMs the same after another source has failed, in ms
 * @param marginMs time for a response beyond the wait, in ms
 * @param maxAgeMs age of a source's values from which it counts as cut off from the
 * store, in ms
 * @param patienceMs time without a usable source after which the store is read, in ms
 */
public record SourceTiming(long confirmMs, long waitMs, long searchWaitMs, long marginMs, long maxAgeMs,
		long patienceMs) {

	private static final double CONFIRM_RATIO = 0.4;

	private static final double WAIT_RATIO = 0.2;

	private static final double SEARCH_WAIT_RATIO = 0.1;

	private static final double MARGIN_RATIO = 0.125;

	/** Part of the time for changes by which a confirmation may be delayed. */
	private static final double DELAY_RATIO = 0.2;

	private static final double PATIENCE_RATIO = 0.4;

	/**
	 * Divides the time in which a change must be in force.
	 * @param changeMs this time, in ms
	 * @param maxConfirmMs longest time between two confirmations that other bounds allow,
	 * in ms
	 * @return the timing
	 */
	public static SourceTiming forChangesWithin(long changeMs, long maxConfirmMs) {
		long confirmMs = Math.min(maxConfirmMs, (long) (changeMs * CONFIRM_RATIO));
		return new SourceTiming(confirmMs, (long) (changeMs * WAIT_RATIO), (long) (changeMs * SEARCH_WAIT_RATIO),
				(long) (changeMs * MARGIN_RATIO), confirmMs + (long) (changeMs * DELAY_RATIO),
				(long) (changeMs * PATIENCE_RATIO));
	}

	/**
	 * Returns the longest time from the last response of the first source until the store
	 * is read.
	 * @param silentSources sources that do not respond, one after the other
	 * @return time in ms
	 */
	public long searchMs(int silentSources) {
		return Math.max(this.patienceMs,
				this.waitMs + this.marginMs + (silentSources - 1) * (this.searchWaitMs + this.marginMs));
	}

}
