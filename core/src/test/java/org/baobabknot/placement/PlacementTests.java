package org.baobabknot.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.baobabknot.fleet.TargetRecord;
import org.baobabknot.limit.LimitStatement;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests for {@link Placement}, {@link TargetLoad} and the limits of cold targets.
 */
class PlacementTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private final Placement placement = new Placement(PlacementSettings.defaults(), new SplittableRandom(1));

	private static Candidate candidate(String id, boolean cold, boolean near) {
		return new Candidate(new TargetRecord(id, "s", "127.0.0.1", 1, "d", 16, false, 0, 0, List.of()),
				new TargetLoad(), cold, near, near);
	}

	private static RequestEstimate estimate(double objectiveMs) {
		return new RequestEstimate(80, 1_000, objectiveMs, 6_000, 0);
	}

	private String choose(List<Candidate> candidates, double objectiveMs) {
		PlacementResult result = this.placement.choose(candidates, estimate(objectiveMs), 0, 1, SECOND);
		return (result instanceof PlacementResult.TargetChosen chosen) ? chosen.candidate().target().id()
				: result.getClass().getSimpleName();
	}

	@Nested
	class Trials {

		private final List<Candidate> candidates = IntStream.range(0, 10)
			.mapToObj((index) -> candidate("t" + index, false, true))
			.toList();

		/** A stream went on where the request that had cut it was tried next. */
		@ParameterizedTest
		@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
		void aCutRequestIsNotSentWhereASuspectedOneIsTried(long content) {
			List<Candidate> tried = TrialPlacement.SPREAD.preferred(this.candidates, List.of(content), 0);
			List<Candidate> others = TrialPlacement.APART.preferred(this.candidates, List.of(content, 9L), 0);
			assertThat(tried.size(), is(1));
			assertThat(others.contains(tried.get(0)), is(false));
			assertThat(others.size(), is(greaterThan(7)));
		}

		@Test
		void suspectsDoNotTakeAwayMostTargets() {
			List<Long> contents = LongStream.range(0, 100).boxed().toList();
			assertThat(TrialPlacement.APART.preferred(this.candidates, contents, 0), is(List.of()));
		}

	}

	@Nested
	class StatedLimits {

		private Candidate limited(String id, double waitMs) {
			Candidate candidate = candidate(id, false, true);
			candidate.load().availability().limit().merge(new LimitStatement(2, 0, 1));
			candidate.load().permits().retryAt(SECOND + (long) (waitMs * TimeUnit.MILLISECONDS.toNanos(1)));
			return candidate;
		}

		@Test
		void aTargetThatTakesNothingNowIsSkipped() {
			assertThat(choose(List.of(limited("limited", 300), candidate("free", false, false)), 400), is("free"));
		}

		@Test
		void aTargetThatTakesARequestIsPreferredToABusyOne() {
			Candidate busy = candidate("busy", false, true);
			busy.load().recordResponseLoad(14, SECOND);
			assertThat(choose(List.of(limited("limited", 0), busy), 400), is("limited"));
		}

		@Test
		void aRequestThatNoTargetTakesInTimeIsRefused() {
			assertThat(choose(List.of(limited("one", 300), limited("two", 900)), 400), is("LimitsReached"));
			assertThat(choose(List.of(limited("one", 200), limited("two", 900)), 400), is("one"));
		}

		@Test
		void lessUrgentRequestsWaitForLess() {
			assertThat(estimate(400).maxPermitWaitMs(0), is(260.0));
			assertThat(estimate(400).maxPermitWaitMs(1), is(130.0));
			assertThat(estimate(-50).maxPermitWaitMs(0), is(0.0));
		}

	}

	@Nested
	class Choice {

		@Test
		void theNearTargetIsPreferredAtEqualLoad() {
			assertThat(choose(List.of(candidate("far", false, false), candidate("near", false, true)), 400),
					is("near"));
		}

		@Test
		void aFullTargetIsSkipped() {
			Candidate full = candidate("full", false, true);
			full.load().recordResponseLoad(20, SECOND);
			assertThat(choose(List.of(full, candidate("free", false, false)), 400), is("free"));
		}

		@Test
		void aFailingTargetIsSkipped() {
			Candidate failing = candidate("failing", false, true);
			for (int count = 0; count < 5; count++) {
				failing.load().recordFailure(SECOND);
			}
			assertThat(choose(List.of(failing, candidate("sound", false, false)), 400), is("sound"));
		}

		@Test
		void failuresDecaySoThatTheTargetIsUsedAgain() {
			TargetLoad load = new TargetLoad();
			for (int count = 0; count < 10; count++) {
				load.recordFailure(SECOND);
			}
			assertThat(load.failureRatio(SECOND), greaterThan(0.8));
			assertThat(load.failureRatio(20 * SECOND), lessThanOrEqualTo(0.02));
		}

		@Test
		void aSlowTargetIsSkipped() {
			Candidate slow = candidate("slow", false, true);
			for (int count = 0; count < 8; count++) {
				slow.load().recordSlowness(5, SECOND);
			}
			assertThat(choose(List.of(slow, candidate("fast", false, false)), 400), is("fast"));
		}

		@Test
		void aTargetBehindASlowLinkIsSkipped() {
			Candidate narrow = candidate("narrow", false, true);
			Object request = new Object();
			narrow.load().recordSent(0);
			narrow.load().expectFirstByte(request, 80, 0);
			assertThat(choose(List.of(narrow, candidate("far", false, false)), 400), is("far"));
			narrow.load().recordFirstByte(request, 2 * SECOND);
			narrow.load().ended();
			assertThat("lag after one late response", narrow.load().lagMs(2 * SECOND), greaterThan(300.0));
			assertThat("the target is used again", narrow.load().lagMs(20 * SECOND), lessThanOrEqualTo(10.0));
		}

		@Test
		void aLaggingTargetIsNotUsedEvenWhenTheOthersAreFull() {
			Candidate lagging = candidate("lagging", false, true);
			lagging.load().expectFirstByte(new Object(), 100, 0);
			Candidate full = candidate("full", false, true);
			full.load().recordResponseLoad(40, 2 * SECOND);
			PlacementResult result = PlacementTests.this.placement.choose(List.of(lagging, full), estimate(400), 0, 1,
					2 * SECOND);
			assertThat(result, instanceOf(PlacementResult.TargetsBusy.class));
			PlacementResult alone = PlacementTests.this.placement.choose(List.of(lagging), estimate(400), 0, 1,
					2 * SECOND);
			assertThat("all targets lag because this process was paused", alone,
					instanceOf(PlacementResult.TargetChosen.class));
		}

		@Test
		void aDroppedRequestCountsWithItsWaitingTime() {
			TargetLoad load = new TargetLoad();
			Object request = new Object();
			load.expectFirstByte(request, 100, 0);
			load.recordDropped(request, SECOND);
			assertThat(load.lagMs(SECOND), is(900.0));
			assertThat("a timely response reduces the lag", lagAfterTimelyResponseMs(load), lessThanOrEqualTo(730.0));
		}

		private double lagAfterTimelyResponseMs(TargetLoad load) {
			Object next = new Object();
			load.expectFirstByte(next, 100, SECOND);
			load.recordFirstByte(next, SECOND);
			return load.lagMs(SECOND);
		}

		@Test
		void aTargetThatStaysSilentIsAvoidedForLongerEachTime() {
			TargetLoad load = new TargetLoad();
			load.avoid(0);
			assertThat(load.avoided(SECOND), is(true));
			assertThat(load.avoided(3 * SECOND), is(false));
			load.avoid(3 * SECOND);
			assertThat(load.avoided(6 * SECOND), is(true));
			load.recordSuccess(8 * SECOND);
			load.avoid(8 * SECOND);
			assertThat(load.avoided(11 * SECOND), is(false));
		}

		@Test
		void noCandidatesGiveNoTarget() {
			assertThat(choose(List.of(), 400), is("NoTarget"));
		}

	}

	@Nested
	class Refusal {

		@Test
		void aRequestThatWouldBeLateAtEveryTargetIsRefused() {
			List<Candidate> candidates = List.of(candidate("a", false, true), candidate("b", false, false));
			candidates.forEach((each) -> each.load().recordResponseLoad(30, SECOND));
			PlacementResult result = PlacementTests.this.placement.choose(candidates, estimate(400), 0, 1, SECOND);
			assertThat(result, instanceOf(PlacementResult.TargetsBusy.class));
			assertThat(((PlacementResult.TargetsBusy) result).waitMs(), greaterThan(500.0));
		}

		@Test
		void aTargetWithAFreeSlotGetsARequestThatIsAlreadyLate() {
			assertThat(choose(List.of(candidate("a", false, true)), -50), is("a"));
		}

	}

	/**
	 * Mean value of requests for callers when processes know the load of engines only
	 * from reports. When the processes don't divide the free slots among themselves, it
	 * is 0.74 at a load of 1.0 and 0.45 at a load of 1.3 of the capacity of the engines.
	 */
	@Nested
	class Overload {

		@ParameterizedTest
		@CsvSource({ "0.7,0.98", "0.85,0.95", "1.0,0.85", "1.3,0.6" })
		void mostRequestsWithinCapacityAreInTime(double load, double minValue) {
			for (long seed = 1; seed <= 3; seed++) {
				for (int engines : new int[] { 8, 14 }) {
					PlacementSimulation simulation = new PlacementSimulation(18, engines, seed).run(load, 30);
					assertThat("mean value with " + engines + " engines, seed " + seed + ": " + simulation,
							simulation.meanValue(), greaterThan(minValue));
				}
			}
		}

		@Test
		void aRequestIsNotRefusedForMissingSlotsWhenTheRateIsUnknown() {
			List<Candidate> candidates = List.of(candidate("a", false, true));
			candidates.get(0).load().recordResponseLoad(16, SECOND);
			for (int count = 0; count < 50; count++) {
				assertThat(choose(candidates, 2_000), is("a"));
			}
		}

	}

	@Nested
	class ColdTargets {

		@Test
		void allProcessesTogetherStayWithinTheRateOfAColdTarget() {
			SplittableRandom random = new SplittableRandom(7);
			for (int senders : new int[] { 1, 6, 18, 40 }) {
				double bound = 36 * 1.5 + 5;
				int allowed = Math.min(senders, ColdSenders.maxSenders(36, 1.5, 5));
				List<Long> sent = new ArrayList<>();
				List<ColdRateLimiter> rates = new ArrayList<>();
				for (int sender = 0; sender < allowed; sender++) {
					rates.add(new ColdRateLimiter());
				}
				long now = 0;
				while (now < 5 * SECOND) {
					now += (long) (random.nextDouble() * SECOND / 500);
					if (rates.get(random.nextInt(allowed)).tryAcquire(36, allowed, now)) {
						sent.add(now);
					}
				}
				assertThat("requests in any second of " + senders + " senders", (double) maxInAnySecond(sent),
						lessThanOrEqualTo(bound));
			}
		}

		private int maxInAnySecond(List<Long> sent) {
			int maxCount = 0;
			int first = 0;
			for (int last = 0; last < sent.size(); last++) {
				while (sent.get(last) - sent.get(first) >= SECOND) {
					first++;
				}
				maxCount = Math.max(maxCount, last - first + 1);
			}
			return maxCount;
		}

		@Test
		void allProcessesAgreeOnTheSenders() {
			List<String> processes = new ArrayList<>();
			for (int index = 0; index < 59; index++) {
				processes.add("entry-" + index);
			}
			long senders = processes.stream()
				.filter((process) -> ColdSenders.isSender("t", process, processes, 20))
				.count();
			assertThat(senders, is(20L));
		}

		@Test
		void aColdTargetAtItsRateLimitIsBusy() {
			Candidate cold = candidate("cold", true, true);
			PlacementResult first = PlacementTests.this.placement.choose(List.of(cold), estimate(400), 36, 18, SECOND);
			PlacementResult second = PlacementTests.this.placement.choose(List.of(cold), estimate(400), 36, 18, SECOND);
			assertThat(first, instanceOf(PlacementResult.TargetChosen.class));
			assertThat(second, instanceOf(PlacementResult.TargetsBusy.class));
		}

	}

	@Nested
	class TargetLoads {

		@Test
		void silenceCountsOnlyWhileRequestsAreInFlight() {
			TargetLoad load = new TargetLoad();
			assertThat(load.silentNanos(10 * SECOND), is(0L));
			load.recordSent(10 * SECOND);
			assertThat(load.silentNanos(12 * SECOND), is(2 * SECOND));
			load.recordProgress(12 * SECOND);
			assertThat(load.silentNanos(12 * SECOND), is(0L));
			load.ended();
			assertThat(load.silentNanos(20 * SECOND), is(0L));
		}

		@Test
		void aFreshLoaderReportOverridesResponseLoads() {
			TargetLoad load = new TargetLoad();
			load.recordResponseLoad(30, 0);
			load.loaderReportedRequests(4, true, 0, 0, 0);
			load.recordSent(0);
			assertThat(load.estimatedRequests(0), is(5.0));
			assertThat(load.estimatedRequests(SECOND), is(5.0));
			assertThat("response loads are used again without a recent loader report",
					load.estimatedRequests(2 * SECOND), greaterThan(10.0));
		}

		@Test
		void aTargetThatLoadsWeightsIsSkipped() {
			Candidate loading = candidate("loading", false, true);
			loading.load().loaderReportedRequests(0, false, 0, 0, SECOND);
			assertThat(choose(List.of(loading, candidate("far", false, false)), 400), is("far"));
			assertThat("it is used when there is no other", choose(List.of(loading), 400), is("loading"));
		}

		@Test
		void aResponseLoadCountsRequestsOfOtherProcesses() {
			TargetLoad load = new TargetLoad();
			load.recordSent(0);
			load.recordResponseLoad(9, 0);
			load.recordSent(0);
			assertThat(load.estimatedRequests(0), is(10.0));
		}

	}

}
