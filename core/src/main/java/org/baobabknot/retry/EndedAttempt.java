package org.baobabknot.retry;

/**
 * An attempt that did not succeed.
 *
 * @param number number of the attempt, starting at 1
 * @param outcome how it ended
 * @param idempotent whether running the request twice is harmless
 * @param responseStarted whether any byte of the answer went to the caller
 * @param deadlineNanos monotonic time of the caller's deadline
 */
public record EndedAttempt(int number, AttemptOutcome outcome, boolean idempotent, boolean responseStarted,
		long deadlineNanos) {

}
