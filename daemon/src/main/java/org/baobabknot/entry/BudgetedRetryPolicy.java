package org.baobabknot.entry;

import java.util.SplittableRandom;

import org.baobabknot.retry.AttemptOutcome;
import org.baobabknot.retry.EndedAttempt;
import org.baobabknot.retry.RetryBudget;
import org.baobabknot.retry.RetryDecision;
import org.baobabknot.retry.RetryPolicy;
import org.baobabknot.retry.RetrySettings;

/**
 * Retry policy of an entry with a retry budget of 10% of the requests, but at least 1
 * retry per second.
 */
final class BudgetedRetryPolicy {

	private static final double RETRY_RATIO = 0.1;

	private static final double MIN_RETRIES_PER_SECOND = 1;

	private final RetryBudget budget = new RetryBudget(RETRY_RATIO, MIN_RETRIES_PER_SECOND);

	private final RetryPolicy policy;

	BudgetedRetryPolicy() {
		this.policy = new RetryPolicy(RetrySettings.defaults(), this.budget, new SplittableRandom());
	}

	void requestStarted() {
		this.budget.deposit();
	}

	RetryDecision decide(int attemptNumber, AttemptOutcome outcome, boolean idempotent, boolean responseStarted,
			long deadlineNanos, long nowNanos) {
		return this.policy.decide(new EndedAttempt(attemptNumber, outcome, idempotent, responseStarted, deadlineNanos),
				nowNanos);
	}

}
