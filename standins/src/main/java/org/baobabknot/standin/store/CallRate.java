package org.baobabknot.standin.store;

/**
 * Token bucket that holds the calls of one second.
 */
final class CallRate {

	private static final double NANOS_PER_SECOND = 1e9;

	private final int perSecond;

	private double tokens;

	private long lastNanos;

	CallRate(int perSecond, long nowNanos) {
		this.perSecond = perSecond;
		this.tokens = perSecond;
		this.lastNanos = nowNanos;
	}

	boolean tryTake(long nowNanos) {
		this.tokens = Math.min(this.perSecond,
				this.tokens + (nowNanos - this.lastNanos) / NANOS_PER_SECOND * this.perSecond);
		this.lastNanos = nowNanos;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
