package org.baobabknot.admission;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link TargetLimiter}.
 */
class TargetLimiterTests {

	private static final long NANOS_PER_MS = 1_000_000;

	private final TargetLimiter limiter = new TargetLimiter(LimiterSettings.withStatusReports(2, 16));

	private long nowNanos;

	private List<AdmissionDecision.Admitted> startAll() {
		List<AdmissionDecision.Admitted> admitted = new ArrayList<>();
		while (this.limiter.tryStart(this.nowNanos) instanceof AdmissionDecision.Admitted next) {
			admitted.add(next);
		}
		return admitted;
	}

	private void warmUp() {
		this.limiter.onStatusReport(1, false, this.nowNanos, this.nowNanos);
		for (int round = 0; round < 10; round++) {
			List<AdmissionDecision.Admitted> admitted = startAll();
			this.nowNanos += 10 * NANOS_PER_MS;
			admitted.forEach(
					(next) -> this.limiter.finish(RequestObservation.healthy(next, 10 * NANOS_PER_MS), this.nowNanos));
		}
	}

	@Nested
	class Cold {

		// Guards against sending requests to a target that has not reported its status.
		@Test
		void startsNothingBeforeTheFirstReport() {
			assertThat(TargetLimiterTests.this.limiter.tryStart(0), instanceOf(AdmissionDecision.Refused.class));
		}

		// Guards against a limiter that starts at the capacity.
		@Test
		void startsAtTheColdLimit() {
			TargetLimiterTests.this.limiter.onStatusReport(1, true, 0, 0);
			assertThat(startAll().size(), is(2));
		}

		// Guards against a limit that rises although the target reports that it is cold.
		@Test
		void staysAtTheColdLimitWhileTheTargetIsCold() {
			TargetLimiterTests.this.limiter.onStatusReport(1, true, 0, 0);
			for (int i = 0; i < 50; i++) {
				startAll().forEach((next) -> TargetLimiterTests.this.limiter
					.finish(RequestObservation.healthy(next, NANOS_PER_MS), 0));
			}
			assertThat(TargetLimiterTests.this.limiter.limit(), is(2));
		}

		// Guards against a late report of the old process that leads to full load on the
		// new process.
		@Test
		void startsNothingAfterALateReportOfAnEarlierIncarnation() {
			warmUp();
			TargetLimiterTests.this.limiter.onStatusReport(2, true, TargetLimiterTests.this.nowNanos,
					TargetLimiterTests.this.nowNanos);
			TargetLimiterTests.this.limiter.onStatusReport(1, false, 0, TargetLimiterTests.this.nowNanos);
			for (int i = 0; i < 50; i++) {
				startAll().forEach((next) -> TargetLimiterTests.this.limiter
					.finish(RequestObservation.healthy(next, NANOS_PER_MS), 0));
			}
			assertThat(TargetLimiterTests.this.limiter.limit(), is(2));
		}

		// Guards against successes of the old process that raise the limit of the new
		// process.
		@Test
		void ignoresCompletionsOfAnEarlierEpoch() {
			warmUp();
			List<AdmissionDecision.Admitted> before = startAll();
			TargetLimiterTests.this.limiter.onStatusReport(2, false, TargetLimiterTests.this.nowNanos,
					TargetLimiterTests.this.nowNanos);
			before.forEach((next) -> TargetLimiterTests.this.limiter
				.finish(RequestObservation.healthy(next, NANOS_PER_MS), 0));
			assertThat(TargetLimiterTests.this.limiter.limit(), is(2));
		}

	}

	@Nested
	class Warm {

		// Guards against a limit that never rises to the capacity.
		@Test
		void rampsUpToTheCapacity() {
			warmUp();
			assertThat(startAll().size(), is(16));
		}

		// Guards against full load on a target that may have restarted.
		@Test
		void startsNothingAfterALostConnectionUntilItIsObserved() {
			warmUp();
			TargetLimiterTests.this.limiter.onConnectionLost(TargetLimiterTests.this.nowNanos);
			assertThat(startAll().size(), is(0));
			TargetLimiterTests.this.limiter.onStatusReport(1, false, TargetLimiterTests.this.nowNanos,
					TargetLimiterTests.this.nowNanos);
			assertThat(startAll().size(), is(2));
		}

		// Guards against full load on a target that became cold without a restart.
		@Test
		void fallsBackWhenLatencyIsFarAboveItsFloor() {
			warmUp();
			for (int i = 0; i < 20 && TargetLimiterTests.this.limiter.limit() == 16; i++) {
				AdmissionDecision.Admitted next = (AdmissionDecision.Admitted) TargetLimiterTests.this.limiter
					.tryStart(TargetLimiterTests.this.nowNanos);
				TargetLimiterTests.this.limiter.finish(RequestObservation.healthy(next, 2000 * NANOS_PER_MS),
						TargetLimiterTests.this.nowNanos);
			}
			assertThat(TargetLimiterTests.this.limiter.limit(), is(2));
		}

	}

	@Nested
	class Closed {

		// Guards against admission that opens with the removal of one reason while
		// another is still set.
		@Test
		void opensOnlyWhenEveryReasonIsGone() {
			warmUp();
			TargetLimiterTests.this.limiter.close(CloseReason.SWITCHING);
			TargetLimiterTests.this.limiter.close(CloseReason.LEAVING);
			TargetLimiterTests.this.limiter.open(CloseReason.SWITCHING, TargetLimiterTests.this.nowNanos);
			assertThat(startAll().size(), is(0));
			TargetLimiterTests.this.limiter.open(CloseReason.LEAVING, TargetLimiterTests.this.nowNanos);
			TargetLimiterTests.this.limiter.onStatusReport(1, true, TargetLimiterTests.this.nowNanos,
					TargetLimiterTests.this.nowNanos);
			assertThat(startAll().size(), is(2));
		}

	}

}
