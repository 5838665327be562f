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
 * Tests of targets behind a path that is slow. What is stuck on its way does not run, so
 * such a target reports that it is idle.
 */
class SlowPathTests {

	private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);

	private final Placement placement = new Placement(PlacementSettings.standard(), new SplittableRandom(1));

	private static Candidate candidate(String id) {
		return new Candidate(new TargetRecord(id, "s", "127.0.0.1", 1, "d", 16, false, 0, 0, List.of()),
				new TargetLoad(), false, true, true);
	}

	private PlacementResult choose(long nowMs, Candidate... candidates) {
		return this.placement.choose(List.of(candidates), new Work(80, 400, 400, 4_000, 0), 0, 1, nowMs * MS);
	}

	private String chosen(long nowMs, Candidate... candidates) {
		return ((PlacementResult.Chosen) choose(nowMs, candidates)).candidate().target().id();
	}

	private static void send(TargetLoad load, int requests) {
		for (int count = 0; count < requests; count++) {
			load.sent(count * MS);
			load.expects(new Object(), 80, count * MS);
		}
	}

	@Nested
	class FilledLinks {

		/** Guards against requests that reach a target after their callers have left. */
		@Test
		void anIdleTargetBehindAFilledLinkGetsNothing() {
			Candidate filled = candidate("filled");
			filled.load().observed(0, true, 700, 0, 0);
			Candidate busy = candidate("busy");
			busy.load().observed(16, true, 2, 0, 0);
			assertThat(chosen(10, filled, busy), is("busy"));
			assertThat("a request that can't arrive in time is refused", choose(10, filled),
					instanceOf(PlacementResult.Busy.class));
		}

		@Test
		void aLinkThatIsFreeAgainIsUsedAgain() {
			Candidate filled = candidate("filled");
			filled.load().observed(0, true, 700, 0, 0);
			filled.load().observed(0, true, 3, 0, 300 * MS);
			assertThat(chosen(310, filled), is("filled"));
		}

		@Test
		void aSomewhatSlowLinkIsUsedWhenThereIsNoOther() {
			Candidate slow = candidate("slow");
			slow.load().observed(0, true, 350, 0, 0);
			assertThat(chosen(10, slow), is("slow"));
		}

	}

	@Nested
	class Reports {

		@Test
		void aTargetWhoseReportsAreOverdueLags() {
			Candidate silent = candidate("silent");
			silent.load().observed(0, true, 0, 0, 0);
			Candidate busy = candidate("busy");
			busy.load().observed(16, true, 2, 0, 1_950 * MS);
			assertThat(silent.load().lagMs(900 * MS), is(0.0));
			assertThat(chosen(2_000, silent, busy), is("busy"));
			assertThat("its loader may be gone", chosen(2_000, silent), is("silent"));
			assertThat(silent.load().lagMs(20_000 * MS), is(0.0));
		}

		@Test
		void requestsOnTheirWayCountAlthoughAReportDoesNotShowThem() {
			TargetLoad load = new TargetLoad();
			send(load, 5);
			load.observed(1, true, 2, 0, 100 * MS);
			load.sent(101 * MS);
			assertThat(load.total(101 * MS), is(6.0));
		}

		@Test
		void requestsThatAReportShowsCountOnce() {
			TargetLoad load = new TargetLoad();
			send(load, 5);
			load.observed(9, true, 2, 0, 100 * MS);
			assertThat(load.total(101 * MS), is(9.0));
		}

	}

	@Nested
	class SignsOfReceipt {

		/** Guards against a queue of requests that nobody can take back. */
		@Test
		void aTargetThatGivesNoSignOfReceiptGetsNoFurtherRequests() {
			Candidate stuck = candidate("stuck");
			send(stuck.load(), 1);
			stuck.load().observed(0, true, 2, 0, 40 * MS);
			Candidate busy = candidate("busy");
			busy.load().observed(16, true, 2, 0, 0);
			assertThat(chosen(50, stuck, busy), is("busy"));
			assertThat("it is better than none", chosen(50, stuck), is("stuck"));
		}

		@Test
		void oneLateRequestKeepsFurtherOnesAway() {
			Candidate late = candidate("late");
			send(late.load(), 1);
			Candidate busy = candidate("busy");
			busy.load().observed(18, true, 2, 0, 0);
			assertThat(chosen(240, late, busy), is("busy"));
		}

		/** Guards against each process losing a request of its own to the same link. */
		@Test
		void whatIsLateForOthersKeepsTheFirstRequestAway() {
			Candidate late = candidate("late");
			late.load().observed(0, true, 2, 400, 0);
			Candidate busy = candidate("busy");
			busy.load().observed(18, true, 2, 0, 0);
			assertThat(chosen(10, late, busy), is("busy"));
			late.load().observed(1, true, 2, 0, 500 * MS);
			assertThat(chosen(510, late, busy), is("late"));
		}

		@Test
		void anAnswerConfirmsWhatWasSentBefore() {
			TargetLoad load = new TargetLoad();
			send(load, 3);
			Object last = new Object();
			load.sent(10 * MS);
			load.expects(last, 80, 10 * MS);
			assertThat(load.unconfirmed(), is(4));
			load.answered(last, 100 * MS);
			assertThat(load.unconfirmed(), is(0));
			assertThat(load.unconfirmedMs(900 * MS), is(0.0));
		}

	}

}
