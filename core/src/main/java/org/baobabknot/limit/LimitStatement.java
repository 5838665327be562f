package org.baobabknot.limit;

/**
 * What one response of a target states about the requests that it takes.
 *
 * @param ratePerSecond requests per second from all processes together, infinite for a
 * response that states no limit
 * @param sentNanos monotonic time at which the request of the response was sent
 * @param receivedNanos monotonic time at which the response was received
 */
public record LimitStatement(double ratePerSecond, long sentNanos, long receivedNanos) {

	/** Rate of a target that states no limit. */
	public static final double UNLIMITED = Double.POSITIVE_INFINITY;

	public LimitStatement {
		if (!(ratePerSecond >= 0)) {
			throw new IllegalArgumentException("ratePerSecond: expected at least 0, not " + ratePerSecond);
		}
	}

}
