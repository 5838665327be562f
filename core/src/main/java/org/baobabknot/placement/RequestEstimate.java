package org.baobabknot.placement;

/**
 * Estimated cost and remaining time of a request.
 *
 * @param firstByteMs time to the first byte at an idle target, in ms
 * @param occupancyMs time for which the request occupies a slot of a busy target, in ms
 * @param objectiveLeftMs time left until the first byte counts as late, in ms; negative
 * when it is late already
 * @param callerLeftMs time left until the caller gives up, in ms
 * @param requestsPerSecond requests per second of all processes for the service, 0 if not
 * known
 */
public record RequestEstimate(double firstByteMs, double occupancyMs, double objectiveLeftMs, double callerLeftMs,
		double requestsPerSecond) {
}
