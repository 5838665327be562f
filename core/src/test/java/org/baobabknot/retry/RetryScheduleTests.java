package org.baobabknot.retry;

import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Runs {@link RetryBudget} and {@link RetryPolicy} under seeded schedules of requests to
 * failing targets.
 */
class RetryScheduleTests {

	private static final int SCHEDULES = 10_000;

	private static final int REQUESTS_PER_SCHEDULE = 300;

	private static final double RATIO = 0.1;

	private static final double MIN_RETRIES_PER_SECOND = 1;

	// Guards against retries that multiply the load on failing targets.
	@Test
	void retriesStayWithinTheBudget() {
		for (long seed = 0; seed < SCHEDULES; seed++) {
			Simulation simulation = new Simulation(seed, new RetryBudget(RATIO, MIN_RETRIES_PER_SECOND));
			simulation.run();
			assertThat("retries above the budget, seed " + seed, simulation.largestExcess, lessThanOrEqualTo(0.0));
		}
	}

	// Guards against schedules that cannot detect too many retries: with a budget of one
	// retry for each request they must detect them.
	@Test
	void schedulesDetectAMissingBudget() {
		int violations = 0;
		for (long seed = 0; seed < SCHEDULES / 10; seed++) {
			Simulation simulation = new Simulation(seed, new RetryBudget(1, 1000));
			simulation.run();
			violations += (simulation.largestExcess > 0) ? 1 : 0;
		}
		assertThat(violations, greaterThan(SCHEDULES / 20));
	}

	private static final class Simulation {

		private final RandomGenerator random;

		private final RetryBudget budget;

		private final RetryPolicy policy;

		private final double failureRatio;

		private final long maxGapNanos;

		private long nowNanos;

		private int requests;

		private int retries;

		private double largestExcess = Double.NEGATIVE_INFINITY;

		private Simulation(long seed, RetryBudget budget) {
			this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
			this.budget = budget;
			this.policy = new RetryPolicy(RetrySettings.defaults(), budget, this.random);
			this.failureRatio = 0.2 + 0.8 * this.random.nextDouble();
			this.maxGapNanos = (long) Math.pow(10, this.random.nextDouble(3, 9));
		}

		private void run() {
			for (this.requests = 1; this.requests <= REQUESTS_PER_SCHEDULE; this.requests++) {
				this.nowNanos += this.random.nextLong(this.maxGapNanos);
				this.budget.deposit();
				runRequest();
				double seconds = this.nowNanos / 1e9;
				double allowed = RetryBudget.MAX_SAVED_RETRIES + RATIO * this.requests
						+ MIN_RETRIES_PER_SECOND * seconds + 1;
				this.largestExcess = Math.max(this.largestExcess, this.retries - allowed);
			}
		}

		private void runRequest() {
			boolean idempotent = this.random.nextBoolean();
			for (int attempt = 1; this.random.nextDouble() < this.failureRatio; attempt++) {
				AttemptOutcome[] outcomes = AttemptOutcome.values();
				AttemptOutcome outcome = outcomes[this.random.nextInt(outcomes.length)];
				EndedAttempt ended = new EndedAttempt(attempt, outcome, idempotent, this.random.nextInt(10) == 0,
						this.nowNanos + 1_000_000_000);
				if (!(this.policy.decide(ended, this.nowNanos) instanceof RetryDecision.Retry again)) {
					return;
				}
				this.nowNanos += again.delayNanos();
				this.retries++;
			}
		}

	}

}
