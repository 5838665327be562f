package org.baobabknot.admission;

import java.util.concurrent.TimeUnit;

/**
 * Compares a moving average of latency with the lowest latency of the last one to two
 * windows. Not thread-safe.
 */
final class LatencyFloor {

	/**
	 * Long enough that a busy minute does not pass for the floor.
	 */
	private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(60);

	/**
	 * Weight of the newest sample: about the last ten samples count.
	 */
	private static final double WEIGHT = 0.2;

	private long previous = Long.MAX_VALUE;

	private long current = Long.MAX_VALUE;

	private long windowStart;

	private double average;

	void add(long latencyNanos, long nowNanos) {
		if (this.current == Long.MAX_VALUE && this.previous == Long.MAX_VALUE) {
			this.windowStart = nowNanos;
		}
		else if (nowNanos - this.windowStart >= WINDOW_NANOS) {
			this.previous = this.current;
			this.current = Long.MAX_VALUE;
			this.windowStart = nowNanos;
		}
		this.current = Math.min(this.current, latencyNanos);
		this.average = (this.average == 0) ? latencyNanos : this.average + WEIGHT * (latencyNanos - this.average);
	}

	boolean farAbove(double factor, long minimumNanos) {
		long floor = Math.min(this.previous, this.current);
		return floor != Long.MAX_VALUE && this.average > Math.max(minimumNanos, floor * factor);
	}

	void forgetAverage() {
		this.average = 0;
	}

	long averageNanos() {
		return (long) this.average;
	}

}
