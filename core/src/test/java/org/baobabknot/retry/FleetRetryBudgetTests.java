package org.baobabknot.retry;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests for {@link FleetRetryBudget}.
 */
class FleetRetryBudgetTests {

	private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final double RATIO = 0.2;

	private static final double FIXED_RETRIES = 234;

	private static final int WINDOW_SECONDS = 10;

	private static FleetRetryBudget budget() {
		return new FleetRetryBudget(RATIO, FIXED_RETRIES, TimeUnit.SECONDS.toMillis(WINDOW_SECONDS));
	}

	@Nested
	class Shares {

		@Test
		void aProcessWithoutRequestsHasItsPartOfTheFixedNumber() {
			FleetRetryBudget budget = budget();
			int allowed = 0;
			while (budget.tryWithdraw(18, 0)) {
				allowed++;
			}
			assertThat(allowed, is(13));
		}

		@Test
		void eachRequestEarnsItsRatio() {
			FleetRetryBudget budget = budget();
			for (int request = 0; request < 100; request++) {
				budget.deposit(SECOND_NANOS);
			}
			int allowed = 0;
			while (budget.tryWithdraw(1_000, SECOND_NANOS)) {
				allowed++;
			}
			assertThat(allowed, is(20));
		}

		@Test
		void whatWasSentComesBackAfterTheWindow() {
			FleetRetryBudget budget = budget();
			while (budget.tryWithdraw(18, 0)) {
				// Uses the budget up.
			}
			assertThat(budget.tryWithdraw(18, (WINDOW_SECONDS - 1) * SECOND_NANOS), is(false));
			assertThat(budget.tryWithdraw(18, (WINDOW_SECONDS + 1) * SECOND_NANOS), is(true));
		}

		@Test
		void aClockThatStartsBelowZeroIsTaken() {
			FleetRetryBudget budget = budget();
			assertThat(budget.tryWithdraw(18, -5 * SECOND_NANOS), is(true));
			assertThat(budget.tryWithdraw(18, SECOND_NANOS), is(true));
		}

	}

	/**
	 * Simulates an outage in which 18 processes retry whenever the budget allows it, and
	 * checks the retries of the fleet in every sliding window against the bound.
	 */
	@Nested
	class Fleet {

		private static final int PROCESSES = 18;

		@Test
		void noWindowExceedsTheBoundAtAnyLoad() {
			for (long seed = 1; seed <= 20; seed++) {
				SplittableRandom random = new SplittableRandom(seed);
				List<FleetRetryBudget> fleet = new ArrayList<>();
				for (int process = 0; process < PROCESSES; process++) {
					fleet.add(budget());
				}
				List<Long> requests = new ArrayList<>();
				List<Long> retries = new ArrayList<>();
				long nowNanos = 0;
				while (nowNanos < 40 * SECOND_NANOS) {
					nowNanos += random.nextLong(SECOND_NANOS / 60);
					FleetRetryBudget process = fleet.get(random.nextInt(PROCESSES));
					process.deposit(nowNanos);
					requests.add(nowNanos);
					for (int retry = random.nextInt(6); retry > 0; retry--) {
						if (process.tryWithdraw(PROCESSES, nowNanos)) {
							retries.add(nowNanos);
						}
					}
				}
				for (long start : retries) {
					long end = start + WINDOW_SECONDS * SECOND_NANOS;
					double allowed = RATIO * largestCount(requests, start, end) + FIXED_RETRIES;
					assertThat("retries from " + start + ", seed " + seed, (double) countWithin(retries, start, end),
							lessThanOrEqualTo(allowed));
				}
				assertThat(retries.size(), greaterThan(PROCESSES * 13));
			}
		}

		// Returns the largest number of requests in the window itself, the window before
		// it, and the window that starts half a window earlier.
		private static long largestCount(List<Long> requests, long startNanos, long endNanos) {
			long window = endNanos - startNanos;
			return Math.max(countWithin(requests, startNanos, endNanos),
					Math.max(countWithin(requests, startNanos - window, startNanos),
							countWithin(requests, startNanos - window / 2, endNanos - window / 2)));
		}

		private static long countWithin(List<Long> times, long start, long end) {
			return times.stream().filter((time) -> time >= start && time < end).count();
		}

	}

}
