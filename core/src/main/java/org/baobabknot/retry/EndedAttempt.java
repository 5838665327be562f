package org.baobabknot.retry;

/**
 * An attempt that ended without a complete response.
 *
 * @param number number of the attempt, starting at 1
 * @param outcome how the attempt ended
 * @param idempotent whether the request may run more than once
 * @param responseStarted whether any byte of the response was sent to the caller
 * @param deadlineNanos monotonic time of the caller's deadline
 */
public record EndedAttempt(int number, AttemptOutcome outcome, boolean idempotent, boolean responseStarted,
		long deadlineNanos) {

}
