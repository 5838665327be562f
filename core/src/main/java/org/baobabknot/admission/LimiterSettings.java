package org.baobabknot.admission;

import java.util.concurrent.TimeUnit;

/**
 * Settings of a {@link TargetLimiter}.
 *
 * @param coldLimit requests that a cold target handles at once, at least 1
 * @param capacity requests that a warm target handles at once
 * @param reportsStatus whether the target reports its incarnation and cold state
 * @param coldHoldNanos shortest time at the cold limit, in nanoseconds
 * @param latencyFactor multiple of the latency floor that counts as far above it
 * @param latencyThresholdNanos latency below which the factor is not applied, in
 * nanoseconds
 */
public record LimiterSettings(int coldLimit, int capacity, boolean reportsStatus, long coldHoldNanos,
		double latencyFactor, long latencyThresholdNanos) {

	/**
	 * Ten times the floor: batching alone makes an engine at capacity about four times
	 * slower than an idle one.
	 */
	private static final double DEFAULT_LATENCY_FACTOR = 10;

	private static final long DEFAULT_LATENCY_THRESHOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/**
	 * A target that reports no state is held at the cold limit for this long, because its
	 * cold period cannot be observed.
	 */
	private static final long COLD_HOLD_WITHOUT_STATUS_NANOS = TimeUnit.SECONDS.toNanos(2);

	/**
	 * Checks the limits.
	 */
	public LimiterSettings {
		if (coldLimit < 1 || capacity < coldLimit) {
			throw new IllegalArgumentException(
					"expected 1 <= coldLimit <= capacity, got " + coldLimit + " and " + capacity);
		}
	}

	/**
	 * Returns the settings for a target that reports its state.
	 * @param coldLimit requests that a cold target handles at once
	 * @param capacity requests that a warm target handles at once
	 * @return the settings
	 */
	public static LimiterSettings withStatusReports(int coldLimit, int capacity) {
		return new LimiterSettings(coldLimit, capacity, true, 0, DEFAULT_LATENCY_FACTOR,
				DEFAULT_LATENCY_THRESHOLD_NANOS);
	}

	/**
	 * Returns the settings for a target that reports no state.
	 * @param coldLimit requests that a cold target handles at once
	 * @param capacity requests that a warm target handles at once
	 * @return the settings
	 */
	public static LimiterSettings withoutStatusReports(int coldLimit, int capacity) {
		return new LimiterSettings(coldLimit, capacity, false, COLD_HOLD_WITHOUT_STATUS_NANOS, DEFAULT_LATENCY_FACTOR,
				DEFAULT_LATENCY_THRESHOLD_NANOS);
	}

}
