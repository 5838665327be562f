package org.baobabknot.admission;

/**
 * Outcome and latency of one request that was admitted by a {@link TargetLimiter}.
 *
 * @param epoch epoch in which the request was admitted
 * @param outcome how the request ended
 * @param latencyNanos time until the first byte of the response, in nanoseconds
 */
public record RequestObservation(long epoch, Outcome outcome, long latencyNanos) {

	/**
	 * Returns the observation of a request with a complete response.
	 * @param admitted the decision that admitted the request
	 * @param latencyNanos time until the first byte of the response, in nanoseconds
	 * @return the observation
	 */
	public static RequestObservation healthy(AdmissionDecision.Admitted admitted, long latencyNanos) {
		return new RequestObservation(admitted.epoch(), Outcome.HEALTHY, latencyNanos);
	}

	/**
	 * Returns the observation of a request that failed at the target.
	 * @param admitted the decision that admitted the request
	 * @return the observation
	 */
	public static RequestObservation failed(AdmissionDecision.Admitted admitted) {
		return new RequestObservation(admitted.epoch(), Outcome.FAILED, 0);
	}

	/**
	 * Returns the observation of a request that does not affect the limit, for instance
	 * because the caller canceled it.
	 * @param admitted the decision that admitted the request
	 * @return the observation
	 */
	public static RequestObservation neutral(AdmissionDecision.Admitted admitted) {
		return new RequestObservation(admitted.epoch(), Outcome.NEUTRAL, 0);
	}

	/**
	 * Ways in which a request ends.
	 */
	public enum Outcome {

		/**
		 * The target sent a complete response.
		 */
		HEALTHY,

		/**
		 * The request failed at the target.
		 */
		FAILED,

		/**
		 * The request ended for a reason unrelated to the target.
		 */
		NEUTRAL

	}

}
