package org.baobabknot.placement;

/**
 * What a request asks of a target.
 *
 * @param firstByteMs time to the first byte at an idle target, in ms
 * @param occupancyMs time for which the request takes a slot of a busy target, in ms
 * @param objectiveLeftMs time left until the first byte counts as late, in ms
 * @param callerLeftMs time left until the caller gives up, in ms
 * @param requestsPerSecond requests of all processes for the service in a second, 0 if
 * not known
 */
public record RequestEstimate(double firstByteMs, double occupancyMs, double objectiveLeftMs, double callerLeftMs,
		double requestsPerSecond) {
}
