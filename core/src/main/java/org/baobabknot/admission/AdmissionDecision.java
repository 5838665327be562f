package org.baobabknot.admission;

import java.util.Optional;

/**
 * Answer of {@link TargetLimiter#tryStart}.
 */
public sealed interface AdmissionDecision {

	/**
	 * The request may start now and counts as running until it is finished.
	 *
	 * @param epoch identifies the period since the last fall to the cold limit
	 * @param incarnation incarnation of the target that the request is meant for
	 */
	record Admitted(long epoch, long incarnation) implements AdmissionDecision {

	}

	/**
	 * The request may not start now.
	 *
	 * @param reason why it was rejected
	 * @param closeReason the reason for closed admission, empty for other rejections
	 * @param retryAfterMillis time after which a new try is sensible, in milliseconds
	 */
	record Refused(Reason reason, Optional<CloseReason> closeReason,
			long retryAfterMillis) implements AdmissionDecision {

	}

	/**
	 * Kinds of rejection.
	 */
	enum Reason {

		/**
		 * As many requests run as the target can handle.
		 */
		AT_LIMIT,

		/**
		 * The state of the target is not known since its last connection was lost.
		 */
		STATUS_UNKNOWN,

		/**
		 * Admission is closed.
		 */
		CLOSED

	}

}
