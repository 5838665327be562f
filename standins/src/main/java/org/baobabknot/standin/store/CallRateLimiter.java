package org.baobabknot.standin.store;

/**
 * Token bucket whose capacity is the number of calls allowed in one second.
 */
final class CallRateLimiter {

	private static final double NANOS_PER_SECOND = 1e9;

	private final int callsPerSecond;

	private double tokens;

	private long lastRefillNanos;

	CallRateLimiter(int callsPerSecond, long nowNanos) {
		this.callsPerSecond = callsPerSecond;
		this.tokens = callsPerSecond;
		this.lastRefillNanos = nowNanos;
	}

	boolean tryAcquire(long nowNanos) {
		this.tokens = Math.min(this.callsPerSecond,
				this.tokens + (nowNanos - this.lastRefillNanos) / NANOS_PER_SECOND * this.callsPerSecond);
		this.lastRefillNanos = nowNanos;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
