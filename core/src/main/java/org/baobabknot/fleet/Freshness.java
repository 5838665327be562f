package org.baobabknot.fleet;

import java.util.concurrent.TimeUnit;

/**
 * Age of what a process knows. The monotonic clock stands still while a machine is
 * suspended, so a jump of the wall clock ahead of it counts as age until the knowledge is
 * confirmed again.
 */
public final class Freshness {

	/** Difference between the clocks that is put down to their resolution, in ms. */
	private static final long CLOCK_TOLERANCE_MS = 50;

	private boolean hasConfirmation;

	private long confirmedNanos;

	private long clockOffsetMs;

	/**
	 * Takes note that the knowledge was current at a moment. The clocks are those at
	 * which the confirmation was asked for, because a suspension while it was on its way
	 * has to count as age.
	 * @param currentNanos monotonic time of that moment
	 * @param requestedNanos monotonic time at which the confirmation was asked for
	 * @param requestedWallMs wall clock at the same time, in ms since 1970
	 */
	public void confirm(long currentNanos, long requestedNanos, long requestedWallMs) {
		if (!this.hasConfirmation || currentNanos - this.confirmedNanos > 0) {
			this.confirmedNanos = currentNanos;
			this.clockOffsetMs = requestedWallMs - TimeUnit.NANOSECONDS.toMillis(requestedNanos);
		}
		this.hasConfirmation = true;
	}

	/**
	 * Returns the age of the knowledge.
	 * @param nowNanos monotonic time
	 * @param wallMs wall clock, in ms since 1970
	 * @return upper bound in ms, {@link Long#MAX_VALUE} if nothing was ever confirmed
	 */
	public long ageMs(long nowNanos, long wallMs) {
		if (!this.hasConfirmation) {
			return Long.MAX_VALUE;
		}
		long jump = jumpMs(nowNanos, wallMs);
		return TimeUnit.NANOSECONDS.toMillis(nowNanos - this.confirmedNanos) + Math.max(0, jump);
	}

	/**
	 * Tells whether the wall clock has jumped ahead since the last confirmation, after a
	 * suspension or because it was set.
	 * @param nowNanos monotonic time
	 * @param wallMs wall clock, in ms since 1970
	 * @return whether to confirm the knowledge again at once
	 */
	public boolean hasJumped(long nowNanos, long wallMs) {
		return this.hasConfirmation && jumpMs(nowNanos, wallMs) > 0;
	}

	private long jumpMs(long nowNanos, long wallMs) {
		long jump = wallMs - TimeUnit.NANOSECONDS.toMillis(nowNanos) - this.clockOffsetMs;
		return (Math.abs(jump) <= CLOCK_TOLERANCE_MS) ? 0 : jump;
	}

}
