package org.baobabknot.admission;

import java.util.concurrent.TimeUnit;

/**
 * Settings of a {@link TargetLimiter}.
 *
 * @param coldLimit most requests that may run at once on a cold target, at least 1
 * @param capacity most requests that may run at once on a warm target
 * @param reportsStatus whether the target reports its incarnation and cold state
 * @param coldHoldNanos minimum time at the cold limit, in nanoseconds
 * @param latencyFactor the limit is reset when the average latency exceeds this multiple
 * of the minimum latency
 * @param latencyThresholdNanos average latency up to which the limit is never reset, in
 * nanoseconds
 */
public record LimiterSettings(int coldLimit, int capacity, boolean reportsStatus, long coldHoldNanos,
		double latencyFactor, long latencyThresholdNanos) {

	/**
	 * Above the slowdown that batching alone causes: an engine at capacity is about four
	 * times slower than an idle one.
	 */
	private static final double DEFAULT_LATENCY_FACTOR = 10;

	private static final long DEFAULT_LATENCY_THRESHOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/**
	 * Minimum time at the cold limit for a target that reports no status, because its
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
	 * Returns the settings for a target that reports its status.
	 * @param coldLimit most requests that may run at once on a cold target
	 * @param capacity most requests that may run at once on a warm target
	 * @return the settings
	 */
	public static LimiterSettings withStatusReports(int coldLimit, int capacity) {
		return new LimiterSettings(coldLimit, capacity, true, 0, DEFAULT_LATENCY_FACTOR,
				DEFAULT_LATENCY_THRESHOLD_NANOS);
	}

	/**
	 * Returns the settings for a target that reports no status.
	 * @param coldLimit most requests that may run at once on a cold target
	 * @param capacity most requests that may run at once on a warm target
	 * @return the settings
	 */
	public static LimiterSettings withoutStatusReports(int coldLimit, int capacity) {
		return new LimiterSettings(coldLimit, capacity, false, COLD_HOLD_WITHOUT_STATUS_NANOS, DEFAULT_LATENCY_FACTOR,
				DEFAULT_LATENCY_THRESHOLD_NANOS);
	}

}
