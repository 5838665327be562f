package org.baobabknot.admission;

/**
 * What the agent saw of one finished request.
 *
 * @param epoch epoch in which the request was admitted
 * @param outcome how the request ended
 * @param latencyNanos time until the first byte of the answer, in nanoseconds
 */
public record RequestObservation(long epoch, Outcome outcome, long latencyNanos) {

	/**
	 * Returns the observation of a complete answer.
	 * @param admitted the decision that admitted the request
	 * @param latencyNanos time until the first byte, in nanoseconds
	 * @return the observation
	 */
	public static RequestObservation succeeded(AdmissionDecision.Admitted admitted, long latencyNanos) {
		return new RequestObservation(admitted.epoch(), Outcome.SUCCEEDED, latencyNanos);
	}

	/**
	 * Returns the observation of a request that the target failed.
	 * @param admitted the decision that admitted the request
	 * @return the observation
	 */
	public static RequestObservation failed(AdmissionDecision.Admitted admitted) {
		return new RequestObservation(admitted.epoch(), Outcome.FAILED, 0);
	}

	/**
	 * Returns the observation of a request that says nothing about the target, for
	 * instance because the caller canceled it.
	 * @param admitted the decision that admitted the request
	 * @return the observation
	 */
	public static RequestObservation ignored(AdmissionDecision.Admitted admitted) {
		return new RequestObservation(admitted.epoch(), Outcome.IGNORED, 0);
	}

	/**
	 * Ways in which a request ends.
	 */
	public enum Outcome {

		/**
		 * The target gave a complete answer.
		 */
		SUCCEEDED,

		/**
		 * The target failed the request.
		 */
		FAILED,

		/**
		 * The request ended for a reason that is not the target's.
		 */
		IGNORED

	}

}
