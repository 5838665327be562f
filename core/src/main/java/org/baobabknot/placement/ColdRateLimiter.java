package org.baobabknot.placement;

import java.util.concurrent.TimeUnit;

/**
 * Token bucket that limits the requests of this process to one cold target. The rate of
 * the target is divided evenly among all processes that send to it, so that they stay
 * within it together without exchanging messages. Confined to one thread.
 */
public final class ColdRateLimiter {

	private double tokens = 1;

	private long refilledNanos;

	private boolean started;

	/**
	 * Acquires a permit for one request.
	 * @param ratePerSecond requests per second that the target accepts while cold
	 * @param senders processes that share the rate, at least 1
	 * @param nowNanos monotonic time
	 * @return whether the request may be sent now
	 */
	public boolean tryAcquire(double ratePerSecond, int senders, long nowNanos) {
		if (this.started) {
			double seconds = (nowNanos - this.refilledNanos) / (double) TimeUnit.SECONDS.toNanos(1);
			this.tokens = Math.min(1, this.tokens + Math.max(0, seconds) * ratePerSecond / senders);
		}
		this.started = true;
		this.refilledNanos = nowNanos;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

	/**
	 * Returns whether a permit is available, without acquiring it.
	 * @param ratePerSecond requests per second that the target accepts while cold
	 * @param senders processes that share the rate, at least 1
	 * @param nowNanos monotonic time
	 * @return whether {@link #tryAcquire} would succeed
	 */
	public boolean allows(double ratePerSecond, int senders, long nowNanos) {
		double seconds = Math.max(0, nowNanos - this.refilledNanos) / (double) TimeUnit.SECONDS.toNanos(1);
		return !this.started || this.tokens + seconds * ratePerSecond / senders >= 1;
	}

}
