package org.baobabknot.placement;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.baobabknot.fleet.TargetRecord;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/**
 * Tests of the placement on targets behind a slow link. Requests that are stuck on the
 * link do not run, so the target reports that it is idle.
 */
class SlowPathTests {

	private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);

	private final Placement placement = new Placement(PlacementSettings.defaults(), new SplittableRandom(1));

	private static Candidate candidate(String id) {
		return new Candidate(new TargetRecord(id, "s", "127.0.0.1", 1, "d", 16, false, 0, 0, List.of()),
				new TargetLoad(), false, true, true);
	}

	private PlacementResult choose(long nowMs, Candidate... candidates) {
		return this.placement.choose(List.of(candidates), new RequestEstimate(80, 400, 400, 4_000, 0), 0, 1,
				nowMs * MS);
	}

	private String chosenTarget(long nowMs, Candidate... candidates) {
		return ((PlacementResult.TargetChosen) choose(nowMs, candidates)).candidate().target().id();
	}

	private static void send(TargetLoad load, int requests) {
		for (int count = 0; count < requests; count++) {
			load.recordSent(count * MS);
			load.expectFirstByte(new Object(), 80, count * MS);
		}
	}

	@Nested
	class SaturatedLinks {

		/** Guards against requests that reach a target after their callers have left. */
		@Test
		void anIdleTargetBehindASaturatedLinkGetsNoRequests() {
			Candidate filled = candidate("filled");
			filled.load().loaderReportedRequests(0, true, 700, 0, 0);
			Candidate busy = candidate("busy");
			busy.load().loaderReportedRequests(16, true, 2, 0, 0);
			assertThat(chosenTarget(10, filled, busy), is("busy"));
			assertThat("a request that can't arrive in time is refused", choose(10, filled),
					instanceOf(PlacementResult.TargetsBusy.class));
		}

		@Test
		void aLinkIsUsedAgainAfterSaturation() {
			Candidate filled = candidate("filled");
			filled.load().loaderReportedRequests(0, true, 700, 0, 0);
			filled.load().loaderReportedRequests(0, true, 3, 0, 300 * MS);
			assertThat(chosenTarget(310, filled), is("filled"));
		}

		@Test
		void aModeratelySlowLinkIsUsedWhenThereIsNoOther() {
			Candidate slow = candidate("slow");
			slow.load().loaderReportedRequests(0, true, 350, 0, 0);
			assertThat(chosenTarget(10, slow), is("slow"));
		}

	}

	@Nested
	class LoaderReports {

		@Test
		void overdueReportsCountAsLag() {
			Candidate silent = candidate("silent");
			silent.load().loaderReportedRequests(0, true, 0, 0, 0);
			Candidate busy = candidate("busy");
			busy.load().loaderReportedRequests(16, true, 2, 0, 1_950 * MS);
			assertThat(silent.load().lagMs(900 * MS), is(0.0));
			assertThat(chosenTarget(2_000, silent, busy), is("busy"));
			assertThat("the target is used when there is no other, because its loader may be gone",
					chosenTarget(2_000, silent), is("silent"));
			assertThat(silent.load().lagMs(20_000 * MS), is(0.0));
		}

		@Test
		void requestsNotYetReportedAreCounted() {
			TargetLoad load = new TargetLoad();
			send(load, 5);
			load.loaderReportedRequests(1, true, 2, 0, 100 * MS);
			load.recordSent(101 * MS);
			assertThat(load.estimatedRequests(101 * MS), is(6.0));
		}

		@Test
		void reportedRequestsAreCountedOnce() {
			TargetLoad load = new TargetLoad();
			send(load, 5);
			load.loaderReportedRequests(9, true, 2, 0, 100 * MS);
			assertThat(load.estimatedRequests(101 * MS), is(9.0));
		}

	}

	@Nested
	class UnconfirmedRequests {

		/** Guards against a queue of requests on the link that can't be withdrawn. */
		@Test
		void aTargetWithAnUnconfirmedRequestGetsNoFurtherOnes() {
			Candidate stuck = candidate("stuck");
			send(stuck.load(), 1);
			stuck.load().loaderReportedRequests(0, true, 2, 0, 40 * MS);
			Candidate busy = candidate("busy");
			busy.load().loaderReportedRequests(16, true, 2, 0, 0);
			assertThat(chosenTarget(50, stuck, busy), is("busy"));
			assertThat("it is used when there is no other", chosenTarget(50, stuck), is("stuck"));
		}

		@Test
		void aTargetWithALateUnconfirmedRequestGetsNoFurtherOnes() {
			Candidate late = candidate("late");
			send(late.load(), 1);
			Candidate busy = candidate("busy");
			busy.load().loaderReportedRequests(18, true, 2, 0, 0);
			assertThat(chosenTarget(240, late, busy), is("busy"));
		}

		/** Guards against every process losing a request of its own on the same link. */
		@Test
		void aTargetThatIsLateForOtherProcessesGetsNoRequest() {
			Candidate late = candidate("late");
			late.load().loaderReportedRequests(0, true, 2, 400, 0);
			Candidate busy = candidate("busy");
			busy.load().loaderReportedRequests(18, true, 2, 0, 0);
			assertThat(chosenTarget(10, late, busy), is("busy"));
			late.load().loaderReportedRequests(1, true, 2, 0, 500 * MS);
			assertThat(chosenTarget(510, late, busy), is("late"));
		}

		@Test
		void aResponseConfirmsEarlierRequests() {
			TargetLoad load = new TargetLoad();
			send(load, 3);
			Object last = new Object();
			load.recordSent(10 * MS);
			load.expectFirstByte(last, 80, 10 * MS);
			assertThat(load.unconfirmed(), is(4));
			load.recordFirstByte(last, 100 * MS);
			assertThat(load.unconfirmed(), is(0));
			assertThat(load.unconfirmedMs(900 * MS), is(0.0));
		}

	}

}
