package org.baobabknot.fleet;

import java.util.concurrent.TimeUnit;

/**
 * Age of what a process knows. The monotonic clock stands still while a machine is
 * suspended, so a jump of the wall clock ahead of it counts as age until the knowledge is
 * confirmed again.
 */
public final class Freshness {

	/** Difference between the clocks that is put down to their resolution, in ms. */
	private static final long TOLERANCE_MS = 50;

	private boolean known;

	private long confirmedNanos;

	private long offsetMs;

	/**
	 * Takes note that the knowledge was current at a moment. The clocks are those at
	 * which the confirmation was asked for, because a suspension while it was on its way
	 * has to count as age.
	 * @param atNanos monotonic time of that moment
	 * @param askedNanos monotonic time at which the confirmation was asked for
	 * @param askedWallMs wall clock at the same time, in ms since 1970
	 */
	public void confirm(long atNanos, long askedNanos, long askedWallMs) {
		if (!this.known || atNanos - this.confirmedNanos > 0) {
			this.confirmedNanos = atNanos;
			this.offsetMs = askedWallMs - TimeUnit.NANOSECONDS.toMillis(askedNanos);
		}
		this.known = true;
	}

	/**
	 * Returns the age of the knowledge.
	 * @param nowNanos monotonic time
	 * @param wallMs wall clock, in ms since 1970
	 * @return upper bound in ms, {@link Long#MAX_VALUE} if nothing was ever confirmed
	 */
	public long ageMs(long nowNanos, long wallMs) {
		if (!this.known) {
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
	public boolean jumped(long nowNanos, long wallMs) {
		return this.known && jumpMs(nowNanos, wallMs) > 0;
	}

	private long jumpMs(long nowNanos, long wallMs) {
		long jump = wallMs - TimeUnit.NANOSECONDS.toMillis(nowNanos) - this.offsetMs;
		return (Math.abs(jump) <= TOLERANCE_MS) ? 0 : jump;
	}

}
