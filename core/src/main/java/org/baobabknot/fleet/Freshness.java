package org.baobabknot.fleet;

import java.util.concurrent.TimeUnit;

/**
 * Age of data that is confirmed from time to time. The monotonic clock does not advance
 * while an instance is suspended, so a forward jump of the wall clock relative to it is
 * added to the age until the data is confirmed again.
 */
public final class Freshness {

	/** Difference between the clocks that is attributed to their resolution. */
	private static final long CLOCK_TOLERANCE_MS = 50;

	private boolean hasConfirmation;

	private long confirmedNanos;

	private long clockOffsetMs;

	/**
	 * Records that the data was current at some time. The clocks are read when the
	 * confirmation is requested, so that a suspension before it arrives counts as age.
	 * @param currentNanos monotonic time at which the data was current
	 * @param requestedNanos monotonic time at which the confirmation was requested
	 * @param requestedWallMs wall clock at the time of the request, in ms since 1970
	 */
	public void confirm(long currentNanos, long requestedNanos, long requestedWallMs) {
		if (!this.hasConfirmation || currentNanos - this.confirmedNanos > 0) {
			this.confirmedNanos = currentNanos;
			this.clockOffsetMs = requestedWallMs - TimeUnit.NANOSECONDS.toMillis(requestedNanos);
		}
		this.hasConfirmation = true;
	}

	/**
	 * Returns the age of the data.
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
	 * Returns whether the wall clock has jumped forward relative to the monotonic clock
	 * since the last confirmation, after a suspension or because it was set.
	 * @param nowNanos monotonic time
	 * @param wallMs wall clock, in ms since 1970
	 * @return whether the data should be confirmed again at once
	 */
	public boolean hasJumped(long nowNanos, long wallMs) {
		return this.hasConfirmation && jumpMs(nowNanos, wallMs) > 0;
	}

	private long jumpMs(long nowNanos, long wallMs) {
		long jump = wallMs - TimeUnit.NANOSECONDS.toMillis(nowNanos) - this.clockOffsetMs;
		return (Math.abs(jump) <= CLOCK_TOLERANCE_MS) ? 0 : jump;
	}

}
