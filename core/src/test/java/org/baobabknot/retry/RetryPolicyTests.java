package org.baobabknot.retry;

import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests for {@link RetryPolicy} and {@link RetryBudget}.
 */
class RetryPolicyTests {

	private static final long SECOND_NANOS = 1_000_000_000;

	private final RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(3);

	private final RetryPolicy policy = new RetryPolicy(RetrySettings.defaults(), new RetryBudget(0.1, 1), this.random);

	private RetryDecision decide(AttemptOutcome outcome, boolean idempotent, boolean responseStarted) {
		return this.policy.decide(new EndedAttempt(1, outcome, idempotent, responseStarted, SECOND_NANOS), 0);
	}

	@Nested
	class NonIdempotent {

		// Guards against running a request twice after a lost connection.
		@Test
		void isResolvedAfterALostConnection() {
			assertThat(decide(AttemptOutcome.CONNECTION_LOST, false, false),
					instanceOf(RetryDecision.ResolveFirst.class));
		}

		// Guards against sending a request with an unknown outcome again.
		@Test
		void isNotSentAgainWhenTheOutcomeIsUnknown() {
			for (AttemptOutcome outcome : new AttemptOutcome[] { AttemptOutcome.UNKNOWN, AttemptOutcome.FAILED }) {
				assertThat(decide(outcome, false, false), is(new RetryDecision.GiveUp(RetryDecision.Reason.UNKNOWN)));
			}
		}

		// Guards against giving up a request that certainly did not run.
		@Test
		void isSentAgainAfterARefusal() {
			assertThat(decide(AttemptOutcome.REFUSED, false, false), instanceOf(RetryDecision.Retry.class));
			assertThat(decide(AttemptOutcome.NOT_RUN, false, false), instanceOf(RetryDecision.Retry.class));
		}

	}

	@Nested
	class Idempotent {

		// Guards against a second response appended to the first part of another one.
		@Test
		void isNotSentAgainOnceTheAnswerStarted() {
			assertThat(decide(AttemptOutcome.CONNECTION_LOST, true, true),
					is(new RetryDecision.GiveUp(RetryDecision.Reason.INCOMPLETE)));
		}

		// Guards against an error for the caller that a second attempt avoids.
		@Test
		void isSentAgainAfterAFailure() {
			assertThat(decide(AttemptOutcome.FAILED, true, false), instanceOf(RetryDecision.Retry.class));
		}

		// Guards against retries that can only end after the deadline.
		@Test
		void isNotSentAgainAfterTheDeadline() {
			EndedAttempt late = new EndedAttempt(1, AttemptOutcome.FAILED, true, false, 0);
			assertThat(RetryPolicyTests.this.policy.decide(late, 1),
					is(new RetryDecision.GiveUp(RetryDecision.Reason.DEADLINE)));
		}

	}

	@Nested
	class Budget {

		// Guards against a retry storm: when every request fails, retries must stay at
		// 10% of the requests.
		@Test
		void boundsRetriesToTheRatio() {
			RetryBudget budget = new RetryBudget(0.1, 1);
			int retries = 0;
			for (int request = 0; request < 10_000; request++) {
				budget.deposit();
				if (budget.tryWithdraw(request * SECOND_NANOS / 1000)) {
					retries++;
				}
			}
			assertThat(retries, lessThanOrEqualTo(1000 + RetryBudget.MAX_SAVED_RETRIES + 10));
		}

		// Guards against a budget that allows no retries to a process with few requests.
		@Test
		void allowsTheMinimumRate() {
			RetryBudget budget = new RetryBudget(0.1, 1);
			int retries = 0;
			for (int second = 0; second < 100; second++) {
				if (budget.tryWithdraw(second * SECOND_NANOS)) {
					retries++;
				}
			}
			assertThat(retries, is(100));
		}

	}

}
