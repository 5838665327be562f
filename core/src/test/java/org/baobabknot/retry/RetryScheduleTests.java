package org.baobabknot.retry;

import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Seeded schedules of requests to failing targets against {@link RetryBudget} and
 * {@link RetryPolicy}.
 */
class RetryScheduleTests {

	private static final int SCHEDULES = 10_000;

	private static final int REQUESTS = 300;

	private static final double RATIO = 0.1;

	private static final double MINIMUM = 1;

	// Guards against retries that multiply the load on failing targets.
	@Test
	void retriesStayWithinTheBudget() {
		for (long seed = 0; seed < SCHEDULES; seed++) {
			Run run = new Run(seed, new RetryBudget(RATIO, MINIMUM));
			run.play();
			assertThat("retries above the budget, seed " + seed, run.worstExcess, lessThanOrEqualTo(0.0));
		}
	}

	// Guards against schedules that cannot detect too many retries: with a budget of one
	// retry for each request they must.
	@Test
	void schedulesDetectAMissingBudget() {
		int violations = 0;
		for (long seed = 0; seed < SCHEDULES / 10; seed++) {
			Run run = new Run(seed, new RetryBudget(1, 1000));
			run.play();
			violations += (run.worstExcess > 0) ? 1 : 0;
		}
		assertThat(violations, greaterThan(SCHEDULES / 20));
	}

	private static final class Run {

		private final RandomGenerator random;

		private final RetryBudget budget;

		private final RetryPolicy policy;

		private final double failing;

		private final long gapNanos;

		private long now;

		private int requests;

		private int retries;

		private double worstExcess = Double.NEGATIVE_INFINITY;

		private Run(long seed, RetryBudget budget) {
			this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
			this.budget = budget;
			this.policy = new RetryPolicy(RetrySettings.defaults(), budget, this.random);
			this.failing = 0.2 + 0.8 * this.random.nextDouble();
			this.gapNanos = (long) Math.pow(10, this.random.nextDouble(3, 9));
		}

		private void play() {
			for (this.requests = 1; this.requests <= REQUESTS; this.requests++) {
				this.now += this.random.nextLong(this.gapNanos);
				this.budget.deposit();
				request();
				double seconds = this.now / 1e9;
				double allowed = RetryBudget.BURST + RATIO * this.requests + MINIMUM * seconds + 1;
				this.worstExcess = Math.max(this.worstExcess, this.retries - allowed);
			}
		}

		private void request() {
			boolean idempotent = this.random.nextBoolean();
			for (int attempt = 1; this.random.nextDouble() < this.failing; attempt++) {
				AttemptOutcome[] outcomes = AttemptOutcome.values();
				AttemptOutcome outcome = outcomes[this.random.nextInt(outcomes.length)];
				Attempt ended = new Attempt(attempt, outcome, idempotent, this.random.nextInt(10) == 0,
						this.now + 1_000_000_000);
				if (!(this.policy.decide(ended, this.now) instanceof RetryDecision.Again again)) {
					return;
				}
				this.now += again.delayNanos();
				this.retries++;
			}
		}

	}

}
