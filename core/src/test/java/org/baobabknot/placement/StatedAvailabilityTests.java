package org.baobabknot.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.baobabknot.fleet.TargetRecord;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

/**
 * Tests for {@link StatedAvailability} and the choice among targets that leave or rest.
 * The load is a service at half of its slots, whose targets ask for rest or leave at any
 * moment. Time is an argument.
 */
class StatedAvailabilityTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

	private final StatedAvailability availability = new StatedAvailability();

	private static Candidate candidate(String id) {
		return new Candidate(new TargetRecord(id, "s", "127.0.0.1", 1, "d", 16, false, 0, 0, List.of()),
				new TargetLoad(), false, true, true);
	}

	private static PlacementResult choose(List<Candidate> candidates, long seed, long nowNanos) {
		return new Placement(PlacementSettings.defaults(), new SplittableRandom(seed)).choose(candidates,
				new RequestEstimate(80, 1_000, 400, 6_000, 0), 0, 1, nowNanos);
	}

	@Nested
	class Rest {

		@Test
		void aTargetAcceptsRequestsWhenItsRestIsOver() {
			StatedAvailability availability = StatedAvailabilityTests.this.availability;
			availability.recordRest(1_500, SECOND);
			assertThat(availability.restLeftMs(SECOND), is(1_500L));
			assertThat(availability.acceptsRequests(2 * SECOND + 499 * MILLISECOND), is(false));
			assertThat(availability.acceptsRequests(2 * SECOND + 500 * MILLISECOND), is(true));
		}

		@Test
		void aShorterRestDoesNotEndALongerOne() {
			StatedAvailability availability = StatedAvailabilityTests.this.availability;
			availability.recordRest(5_000, 0);
			availability.recordRest(100, SECOND);
			assertThat(availability.restLeftMs(SECOND), is(4_000L));
		}

		@Test
		void noRestOrANegativeOneIsIgnored() {
			StatedAvailability availability = StatedAvailabilityTests.this.availability;
			availability.recordRest(0, 0);
			availability.recordRest(-7, 0);
			assertThat(availability.acceptsRequests(0), is(true));
		}

		@Test
		void aHugeRestIsLimited() {
			StatedAvailability availability = StatedAvailabilityTests.this.availability;
			availability.recordRest(Long.MAX_VALUE, 0);
			assertThat(availability.restLeftMs(0), is(600_000L));
		}

	}

	@Nested
	class Choice {

		@Test
		void whenAllTargetsRestTheRequestIsRefusedUntilTheFirstReturns() {
			List<Candidate> candidates = List.of(candidate("t1"), candidate("t2"));
			candidates.get(0).load().availability().recordRest(3_000, 0);
			candidates.get(1).load().availability().recordRest(1_000, 0);
			assertThat(choose(candidates, 1, 0), is(new PlacementResult.TargetsResting(1_000)));
		}

		@Test
		void aLeavingTargetIsNotWaitedFor() {
			Candidate leaving = candidate("t1");
			leaving.load().availability().recordLeaving();
			assertThat(choose(List.of(leaving), 1, 0), instanceOf(PlacementResult.NoTarget.class));
		}

		@Test
		void refusedCallersReturnAfterTheRestAndSpread() {
			SplittableRandom random = new SplittableRandom(1);
			List<Long> delays = new ArrayList<>();
			for (int count = 0; count < 1_000; count++) {
				delays.add(RetryAfter.AFTER_REST.delayMs(500, 6_000, random));
			}
			assertThat(delays.stream().min(Long::compare).orElseThrow(), greaterThanOrEqualTo(500L));
			assertThat(delays.stream().max(Long::compare).orElseThrow(), lessThanOrEqualTo(2_000L));
			assertThat(delays.stream().distinct().count(), greaterThanOrEqualTo(500L));
		}

	}

	@Nested
	class Schedules {

		private static final int SEEDS = 3_000;

		private static final int TARGETS = 4;

		@Test
		void noRequestGoesToATargetThatLeavesOrRests() {
			for (int seed = 0; seed < SEEDS; seed++) {
				SplittableRandom random = new SplittableRandom(seed);
				List<Candidate> candidates = new ArrayList<>();
				long[] restEnd = new long[TARGETS];
				boolean[] leaving = new boolean[TARGETS];
				for (int index = 0; index < TARGETS; index++) {
					candidates.add(candidate("t" + index));
				}
				long now = 0;
				for (int step = 0; step < 60; step++) {
					now += random.nextInt(400) * MILLISECOND;
					int index = random.nextInt(TARGETS);
					switch (random.nextInt(12)) {
						case 0 -> {
							candidates.get(index).load().availability().recordLeaving();
							leaving[index] = true;
						}
						case 1, 2 -> {
							long restMs = random.nextInt(3_000);
							candidates.get(index).load().availability().recordRest(restMs, now);
							restEnd[index] = Math.max(restEnd[index], now + restMs * MILLISECOND);
						}
						case 3 -> {
							candidates.set(index, candidate("t" + index));
							restEnd[index] = 0;
							leaving[index] = false;
						}
						default -> candidates.get(index).load().loaderReportedRequests(8, true, 0, 0, now);
					}
					if (choose(candidates, seed + step, now) instanceof PlacementResult.TargetChosen chosen) {
						int target = candidates.indexOf(chosen.candidate());
						assertThat("seed " + seed, leaving[target], is(false));
						assertThat("seed " + seed, restEnd[target], not(greaterThanOrEqualTo(now + 1)));
					}
				}
			}
		}

	}

}
