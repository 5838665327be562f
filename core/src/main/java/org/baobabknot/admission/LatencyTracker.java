package org.baobabknot.admission;

import java.util.concurrent.TimeUnit;

/**
 * Compares an exponential moving average of latency with the minimum latency of the last
 * one to two windows. Not thread-safe.
 */
final class LatencyTracker {

	/**
	 * Length of a window. Long enough that the latencies of a busy minute are not taken
	 * for the minimum.
	 */
	private static final long MINIMUM_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(60);

	/**
	 * Weight of the newest sample in the moving average; about the last ten samples
	 * contribute.
	 */
	private static final double NEWEST_SAMPLE_RATIO = 0.2;

	private long previousMinNanos = Long.MAX_VALUE;

	private long currentMinNanos = Long.MAX_VALUE;

	private long windowStartNanos;

	private double movingAverageNanos;

	void add(long latencyNanos, long nowNanos) {
		if (this.currentMinNanos == Long.MAX_VALUE && this.previousMinNanos == Long.MAX_VALUE) {
			this.windowStartNanos = nowNanos;
		}
		else if (nowNanos - this.windowStartNanos >= MINIMUM_WINDOW_NANOS) {
			this.previousMinNanos = this.currentMinNanos;
			this.currentMinNanos = Long.MAX_VALUE;
			this.windowStartNanos = nowNanos;
		}
		this.currentMinNanos = Math.min(this.currentMinNanos, latencyNanos);
		this.movingAverageNanos = (this.movingAverageNanos == 0) ? latencyNanos
				: this.movingAverageNanos + NEWEST_SAMPLE_RATIO * (latencyNanos - this.movingAverageNanos);
	}

	boolean averageExceeds(double minimumFactor, long thresholdNanos) {
		long minimumLatencyNanos = Math.min(this.previousMinNanos, this.currentMinNanos);
		return minimumLatencyNanos != Long.MAX_VALUE
				&& this.movingAverageNanos > Math.max(thresholdNanos, minimumLatencyNanos * minimumFactor);
	}

	void resetAverage() {
		this.movingAverageNanos = 0;
	}

	long averageNanos() {
		return (long) this.movingAverageNanos;
	}

}
