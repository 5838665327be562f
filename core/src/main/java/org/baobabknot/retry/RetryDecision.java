package org.baobabknot.retry;

/**
 * Decision of a {@link RetryPolicy} after an attempt that did not succeed.
 */
public sealed interface RetryDecision {

	/**
	 * Send the request again.
	 *
	 * @param delayNanos delay before the next attempt, in nanoseconds
	 */
	record Retry(long delayNanos) implements RetryDecision {

	}

	/**
	 * Do not send the request again.
	 *
	 * @param reason why, which determines the response to the caller
	 */
	record GiveUp(Reason reason) implements RetryDecision {

	}

	/**
	 * Resolve the request at its agent over a new connection, to learn whether it ran.
	 */
	record ResolveFirst() implements RetryDecision {

	}

	/**
	 * Reasons for giving up.
	 */
	enum Reason {

		/**
		 * The request did not run, and every agent would refuse it.
		 */
		REFUSED,

		/**
		 * The request may be sent again, but the retry budget or the number of attempts
		 * is used up.
		 */
		EXHAUSTED,

		/**
		 * The caller's deadline passes before another attempt could start.
		 */
		DEADLINE,

		/**
		 * A part of the response has already been sent to the caller.
		 */
		INCOMPLETE,

		/**
		 * The request may have run and must not run twice.
		 */
		UNKNOWN

	}

}
