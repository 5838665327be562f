package org.baobabknot.routing;

import java.util.concurrent.TimeUnit;

/**
 * Settings of a {@link Balancer}.
 *
 * @param ownDomain failure domain of this process
 * @param spillPressure pressure of the own domain above which other domains are used
 * @param boundedLoad multiple of the mean load up to which prefix affinity is followed
 * @param failureHoldNanos time for which an agent is avoided after its first failure, in
 * nanoseconds; doubles with each further one
 * @param failureHoldMaxNanos upper bound of that time, in nanoseconds
 */
public record BalancerSettings(String ownDomain, double spillPressure, double boundedLoad, long failureHoldNanos,
		long failureHoldMaxNanos) {

	private static final double SPILL_PRESSURE = 0.9;

	/**
	 * Consistent hashing with bounded loads moves few keys at a quarter above the mean.
	 */
	private static final double BOUNDED_LOAD = 1.25;

	private static final long FAILURE_HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

	private static final long FAILURE_HOLD_MAX_NANOS = TimeUnit.SECONDS.toNanos(10);

	/**
	 * Returns the default settings.
	 * @param ownDomain failure domain of this process
	 * @return the settings
	 */
	public static BalancerSettings defaults(String ownDomain) {
		return new BalancerSettings(ownDomain, SPILL_PRESSURE, BOUNDED_LOAD, FAILURE_HOLD_NANOS,
				FAILURE_HOLD_MAX_NANOS);
	}

}
