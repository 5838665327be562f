package org.baobabknot.entry;

import java.util.SplittableRandom;

import org.baobabknot.retry.AttemptOutcome;
import org.baobabknot.retry.EndedAttempt;
import org.baobabknot.retry.RetryBudget;
import org.baobabknot.retry.RetryDecision;
import org.baobabknot.retry.RetryPolicy;
import org.baobabknot.retry.RetrySettings;

/**
 * Retry policy of this entry with its budget: 10% of requests, at least 1 per second.
 */
final class Retries {

	private static final double RATIO = 0.1;

	private static final double LEAST_PER_SECOND = 1;

	private final RetryBudget budget = new RetryBudget(RATIO, LEAST_PER_SECOND);

	private final RetryPolicy policy;

	Retries() {
		this.policy = new RetryPolicy(RetrySettings.defaults(), this.budget, new SplittableRandom());
	}

	void deposit() {
		this.budget.deposit();
	}

	RetryDecision decide(int number, AttemptOutcome outcome, boolean idempotent, boolean answerStarted,
			long deadlineNanos, long nowNanos) {
		return this.policy.decide(new EndedAttempt(number, outcome, idempotent, answerStarted, deadlineNanos),
				nowNanos);
	}

}
