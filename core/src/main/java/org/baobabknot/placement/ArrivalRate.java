package org.baobabknot.placement;

import java.util.concurrent.TimeUnit;

/**
 * Rate of the requests that this process gets for one service, as an average that forgets
 * old ones. Confined to one thread.
 */
public final class ArrivalRate {

	/**
	 * Time in which a request is forgotten to 1/e, in seconds: long enough for some dozen
	 * requests of a process, short against the bursts of callers.
	 */
	private static final double TIME_CONSTANT_SECONDS = 2;

	private double perSecond;

	private long updatedNanos;

	private boolean started;

	/**
	 * Counts a request.
	 * @param nowNanos monotonic time
	 */
	public void count(long nowNanos) {
		this.perSecond = perSecond(nowNanos) + 1 / TIME_CONSTANT_SECONDS;
		this.updatedNanos = nowNanos;
		this.started = true;
	}

	/**
	 * Returns the rate.
	 * @param nowNanos monotonic time
	 * @return requests in a second
	 */
	public double perSecond(long nowNanos) {
		if (!this.started) {
			return 0;
		}
		double seconds = Math.max(0, nowNanos - this.updatedNanos) / (double) TimeUnit.SECONDS.toNanos(1);
		return this.perSecond * Math.exp(-seconds / TIME_CONSTANT_SECONDS);
	}

}
