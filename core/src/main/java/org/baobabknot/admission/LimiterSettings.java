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
 * @param latencyMinimumNanos latency below which the factor is not applied, in
 * nanoseconds
 */
public record LimiterSettings(int coldLimit, int capacity, boolean reportsStatus, long coldHoldNanos,
		double latencyFactor, long latencyMinimumNanos) {

	/**
	 * Ten times the floor: batching alone makes an engine at capacity about four times
	 * slower than an idle one.
	 */
	private static final double LATENCY_FACTOR = 10;

	private static final long LATENCY_MINIMUM_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/**
	 * A target that reports no state is held at the cold limit for this long, because its
	 * cold period cannot be observed.
	 */
	private static final long SILENT_COLD_HOLD_NANOS = TimeUnit.SECONDS.toNanos(2);

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
	public static LimiterSettings reporting(int coldLimit, int capacity) {
		return new LimiterSettings(coldLimit, capacity, true, 0, LATENCY_FACTOR, LATENCY_MINIMUM_NANOS);
	}

	/**
	 * Returns the settings for a target that reports no state.
	 * @param coldLimit requests that a cold target handles at once
	 * @param capacity requests that a warm target handles at once
	 * @return the settings
	 */
	public static LimiterSettings silent(int coldLimit, int capacity) {
		return new LimiterSettings(coldLimit, capacity, false, SILENT_COLD_HOLD_NANOS, LATENCY_FACTOR,
				LATENCY_MINIMUM_NANOS);
	}

}
