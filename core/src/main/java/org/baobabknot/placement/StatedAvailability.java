package org.baobabknot.placement;

import java.util.concurrent.TimeUnit;

import org.baobabknot.limit.StatedLimit;

/**
 * What one start of a target has stated about itself in its responses: that it leaves,
 * that it wants no requests of this process for some time, or how many it takes from all
 * processes together. A statement holds whatever lists and load reports say, until the
 * target starts again. Confined to one thread.
 */
public final class StatedAvailability {

	/** Longest rest that a target can ask for. */
	private static final long MAX_REST_NANOS = TimeUnit.MINUTES.toNanos(10);

	private final StatedLimit limit = new StatedLimit();

	private boolean leaving;

	private boolean rested;

	private long restEndNanos;

	/**
	 * Records that the target has stated that it leaves.
	 */
	public void recordLeaving() {
		this.leaving = true;
	}

	/**
	 * Records that the target has asked for a rest. A longer one that it asked for before
	 * still holds.
	 * @param restMs time in ms, ignored unless positive
	 * @param nowNanos monotonic time
	 */
	public void recordRest(long restMs, long nowNanos) {
		if (restMs <= 0) {
			return;
		}
		long endNanos = nowNanos + Math.min(MAX_REST_NANOS, TimeUnit.MILLISECONDS.toNanos(restMs));
		this.restEndNanos = (this.rested && this.restEndNanos - endNanos > 0) ? this.restEndNanos : endNanos;
		this.rested = true;
	}

	/**
	 * Returns whether the target has stated that it leaves.
	 * @return whether it gets no more requests
	 */
	public boolean leaving() {
		return this.leaving;
	}

	/**
	 * Returns for how long the target still rests.
	 * @param nowNanos monotonic time
	 * @return time in ms, rounded up, 0 if it does not rest
	 */
	public long restLeftMs(long nowNanos) {
		long leftNanos = (this.rested) ? this.restEndNanos - nowNanos : 0;
		return (leftNanos <= 0) ? 0 : TimeUnit.NANOSECONDS.toMillis(leftNanos + TimeUnit.MILLISECONDS.toNanos(1) - 1);
	}

	/**
	 * Returns the limit that the target has stated.
	 * @return the limit, which responses change
	 */
	public StatedLimit limit() {
		return this.limit;
	}

	/**
	 * Returns whether the target may get requests.
	 * @param nowNanos monotonic time
	 * @return whether it neither leaves nor rests
	 */
	public boolean acceptsRequests(long nowNanos) {
		return !this.leaving && restLeftMs(nowNanos) == 0;
	}

}
