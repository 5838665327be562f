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

	/**
	 * Part of the remaining objective that the predicted time to the first byte may use.
	 */
	static final double MAX_OBJECTIVE_RATIO = 0.85;

	/**
	 * Returns how long the request may wait for a permit of a target that states a limit.
	 * Less urgent requests wait for a shorter time, so that they get a permit only while
	 * few others wait for one.
	 * @param urgency rank of the request, 0 is the most urgent
	 * @return time in ms, 0 if only a permit that is valid at once is of use
	 */
	public double maxPermitWaitMs(int urgency) {
		return Math.max(0, this.objectiveLeftMs * MAX_OBJECTIVE_RATIO - this.firstByteMs) / (1 + Math.max(0, urgency));
	}

}
