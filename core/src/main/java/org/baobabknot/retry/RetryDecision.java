package org.baobabknot.retry;

/**
 * What follows an attempt that did not succeed.
 */
public sealed interface RetryDecision {

	/**
	 * Send the request again.
	 *
	 * @param delayNanos time to wait before, in nanoseconds
	 */
	record Retry(long delayNanos) implements RetryDecision {

	}

	/**
	 * Do not send the request again.
	 *
	 * @param reason why, which decides what the caller is told
	 */
	record GiveUp(Reason reason) implements RetryDecision {

	}

	/**
	 * Ask the agent over a new connection what became of the request.
	 */
	record ResolveFirst() implements RetryDecision {

	}

	/**
	 * Reasons for giving up.
	 */
	enum Reason {

		/**
		 * The request did not run; every agent would refuse it.
		 */
		REFUSED,

		/**
		 * The request did not run, and no retry is left in the budget or in the number of
		 * attempts.
		 */
		RETRIES_EXHAUSTED,

		/**
		 * The deadline of the caller leaves no time.
		 */
		DEADLINE_TOO_CLOSE,

		/**
		 * A part of the answer went to the caller already.
		 */
		RESPONSE_STARTED,

		/**
		 * The request may have run and must not run twice.
		 */
		OUTCOME_UNKNOWN

	}

}
