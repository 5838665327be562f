package org.baobabknot.placement;

import java.util.concurrent.TimeUnit;

/**
 * Arrival rate of requests for one service in this process, as an exponentially decaying
 * average. Confined to one thread.
 */
public final class ArrivalRate {

	/**
	 * Time in which the weight of a request decays to 1/e. It covers some dozen requests
	 * of a process and is short compared with bursts of callers.
	 */
	private static final double TIME_CONSTANT_SECONDS = 2;

	private double perSecond;

	private long updatedNanos;

	private boolean started;

	/**
	 * Counts an arriving request.
	 * @param nowNanos monotonic time
	 */
	public void count(long nowNanos) {
		this.perSecond = perSecond(nowNanos) + 1 / TIME_CONSTANT_SECONDS;
		this.updatedNanos = nowNanos;
		this.started = true;
	}

	/**
	 * Returns the arrival rate.
	 * @param nowNanos monotonic time
	 * @return requests per second
	 */
	public double perSecond(long nowNanos) {
		if (!this.started) {
			return 0;
		}
		double seconds = Math.max(0, nowNanos - this.updatedNanos) / (double) TimeUnit.SECONDS.toNanos(1);
		return this.perSecond * Math.exp(-seconds / TIME_CONSTANT_SECONDS);
	}

}
