package org.baobabknot.placement;

import java.util.concurrent.TimeUnit;

/**
 * Bounds the requests that this process sends to one cold target. The rate that the
 * target bears is divided evenly among all processes that send to it, so that their sum
 * keeps to it without messages between them. Confined to one thread.
 */
public final class ColdRateLimiter {

	private double tokens = 1;

	private long refilledNanos;

	private boolean started;

	/**
	 * Takes one request out of the rate.
	 * @param ratePerSecond requests that the target bears in a second
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
	 * Returns whether a request could be taken now.
	 * @param ratePerSecond requests that the target bears in a second
	 * @param senders processes that share the rate, at least 1
	 * @param nowNanos monotonic time
	 * @return whether {@link #tryAcquire} would allow it
	 */
	public boolean allows(double ratePerSecond, int senders, long nowNanos) {
		double seconds = Math.max(0, nowNanos - this.refilledNanos) / (double) TimeUnit.SECONDS.toNanos(1);
		return !this.started || this.tokens + seconds * ratePerSecond / senders >= 1;
	}

}
