package org.baobabknot.routing;

import java.util.concurrent.TimeUnit;

/**
 * Settings of a {@link Balancer}.
 *
 * @param ownDomain failure domain of this process
 * @param spillPressure pressure of the own domain (requests divided by limits) above
 * which other domains are used
 * @param boundedLoad multiple of the mean load up to which an agent gets requests by
 * prefix affinity
 * @param minAvoidanceNanos time for which an agent is avoided after its first failure, in
 * nanoseconds; doubles with each further one
 * @param maxAvoidanceNanos upper bound of that time, in nanoseconds
 */
public record BalancerSettings(String ownDomain, double spillPressure, double boundedLoad, long minAvoidanceNanos,
		long maxAvoidanceNanos) {

	private static final double DEFAULT_SPILL_PRESSURE = 0.9;

	/**
	 * Consistent hashing with bounded loads moves few keys when the bound is a quarter
	 * above the mean.
	 */
	private static final double DEFAULT_BOUNDED_LOAD = 1.25;

	private static final long DEFAULT_MIN_AVOIDANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

	private static final long DEFAULT_MAX_AVOIDANCE_NANOS = TimeUnit.SECONDS.toNanos(10);

	/**
	 * Returns the default settings.
	 * @param ownDomain failure domain of this process
	 * @return the settings
	 */
	public static BalancerSettings defaults(String ownDomain) {
		return new BalancerSettings(ownDomain, DEFAULT_SPILL_PRESSURE, DEFAULT_BOUNDED_LOAD,
				DEFAULT_MIN_AVOIDANCE_NANOS, DEFAULT_MAX_AVOIDANCE_NANOS);
	}

}
