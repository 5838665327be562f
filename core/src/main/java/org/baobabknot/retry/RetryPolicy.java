package org.baobabknot.retry;

import java.util.random.RandomGenerator;

import org.baobabknot.retry.RetryDecision.GiveUp;
import org.baobabknot.retry.RetryDecision.Reason;
import org.baobabknot.retry.RetryDecision.ResolveFirst;
import org.baobabknot.retry.RetryDecision.Retry;

/**
 * Decides whether a request is retried after an attempt that did not succeed. A request
 * is sent again only if no part of the response was sent to the caller, and if it
 * certainly did not run or is idempotent. Thread-safe.
 */
public final class RetryPolicy {

	private final Object lock = new Object();

	private final RetrySettings settings;

	private final RetryBudget budget;

	private final RandomGenerator random;

	/**
	 * Creates a policy.
	 * @param settings limits of attempts and delays
	 * @param budget budget shared by all requests of the process
	 * @param random source of jitter
	 */
	public RetryPolicy(RetrySettings settings, RetryBudget budget, RandomGenerator random) {
		this.settings = settings;
		this.budget = budget;
		this.random = random;
	}

	/**
	 * Decides whether a request is retried after an attempt, and takes a retry out of the
	 * budget if it is.
	 * @param attempt the attempt that did not succeed
	 * @param nowNanos monotonic time
	 * @return the decision
	 */
	public RetryDecision decide(EndedAttempt attempt, long nowNanos) {
		if (attempt.responseStarted()) {
			return new GiveUp(Reason.INCOMPLETE);
		}
		if (attempt.outcome() == AttemptOutcome.REFUSED_EVERYWHERE) {
			return new GiveUp(Reason.REFUSED);
		}
		boolean mayRunAgain = attempt.outcome().notRun() || attempt.idempotent();
		if (!mayRunAgain) {
			return (attempt.outcome() == AttemptOutcome.CONNECTION_LOST) ? new ResolveFirst()
					: new GiveUp(Reason.UNKNOWN);
		}
		long delayNanos = delayNanos(attempt.number());
		if (attempt.deadlineNanos() - nowNanos <= delayNanos) {
			return new GiveUp(Reason.DEADLINE);
		}
		if (attempt.number() >= this.settings.maxAttempts() || !this.budget.tryWithdraw(nowNanos)) {
			return new GiveUp(Reason.EXHAUSTED);
		}
		return new Retry(delayNanos);
	}

	// Returns the delay after an attempt. The first retry is sent to another agent at
	// once. Later retries are delayed with full jitter, because several agents have
	// already failed or refused the request.
	private long delayNanos(int attempt) {
		if (attempt <= 1) {
			return 0;
		}
		int doublings = Math.min(attempt - 2, 16);
		long maxNanos = Math.min(this.settings.maxDelayNanos(), 2 * this.settings.baseDelayNanos() << doublings);
		synchronized (this.lock) {
			return this.random.nextLong(maxNanos + 1);
		}
	}

}
