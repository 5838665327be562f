package org.baobabknot.admission;

import java.util.Optional;

/**
 * Result of {@link TargetLimiter#tryStart}: whether a request may start on the target.
 */
public sealed interface AdmissionDecision {

	/**
	 * The request may start now and counts as running until it is finished.
	 *
	 * @param epoch number of the period since the limit was last reset to the cold limit
	 * @param incarnation incarnation of the target for which the request was admitted
	 */
	record Admitted(long epoch, long incarnation) implements AdmissionDecision {

	}

	/**
	 * The request may not start now.
	 *
	 * @param reason why the request was refused
	 * @param closeReason why admission is closed, empty unless the reason is
	 * {@link Reason#CLOSED}
	 * @param retryAfterMillis time after which to try again, in milliseconds
	 */
	record Refused(Reason reason, Optional<CloseReason> closeReason,
			long retryAfterMillis) implements AdmissionDecision {

	}

	/**
	 * Reasons for a refusal.
	 */
	enum Reason {

		/**
		 * The number of running requests has reached the limit of the target.
		 */
		AT_LIMIT,

		/**
		 * The target states how many requests it takes, and has got as many.
		 */
		RATE_LIMITED,

		/**
		 * The status of the target is unknown: no report has arrived since the start,
		 * since a connection was lost, or since reports contradicted each other.
		 */
		NOT_OBSERVED,

		/**
		 * Admission is closed.
		 */
		CLOSED

	}

}
