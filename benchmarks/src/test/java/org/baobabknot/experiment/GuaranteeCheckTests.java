package org.baobabknot.experiment;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.baobabknot.experiment.Violations.Guarantee;
import org.baobabknot.load.LoadOutcome;
import org.baobabknot.load.LoadRequest;
import org.baobabknot.load.ResponseCheck;
import org.baobabknot.load.Workload;
import org.baobabknot.weights.Digests;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

/**
 * Tests of the guarantee checks on synthetic records: each violation is reported, and
 * behaviour that the design page allows is not.
 */
class GuaranteeCheckTests {

	private static final Deployment.Domain DOMAIN = new Deployment.Domain("a", "a");

	private static final Deployment.Instance ENGINE = new Deployment.Instance("engine-1", DOMAIN,
			Optional.of(new Deployment.Service("model", true, 1, 2, 16, 1_000, 2)));

	private static final LoadRequest ORDER = LoadRequest.post("o1", Workload.ORDER, "/orders", "{}",
			ResponseCheck.NONE);

	private final FaultHistory history = new FaultHistory();

	private final Violations violations = new Violations();

	private final TargetChecks targets = new TargetChecks(Map.of("v1", "d1"), this.history, this.violations);

	private void addRun(long atMillis, String digest, int running, boolean cold) {
		ObjectNode request = JsonNodeFactory.instance.objectNode();
		request.put("arrived_ms", atMillis).put("at_ms", atMillis).put("version", "v1").put("digest", digest);
		request.put("running", running).put("cold", cold).put("cold_ms", 100);
		this.targets.addRun(ENGINE, request.put("body_digest", Digests.of(ORDER.body())));
	}

	private void addFault(FaultKind kind, long from, long to, String... subjects) {
		FaultHistory.FaultPeriod faultPeriod = new FaultHistory.FaultPeriod(kind, from);
		faultPeriod.subjects(Set.of(subjects));
		faultPeriod.close(to);
		this.history.add(faultPeriod);
	}

	private static FaultRequest request(LoadOutcome outcome, int status, long sent) {
		return new FaultRequest(ORDER,
				List.of(new FaultRequest.Attempt("entry-1", sent, sent + 100, status, outcome, "")));
	}

	private int violationCount(Guarantee guarantee) {
		return this.violations.count(guarantee);
	}

	@Nested
	class Records {

		// Guards against a check that accepts different weights under a published
		// version.
		@Test
		void weightsMustBeThePublishedOnes() {
			addRun(1_000, "d1", 1, false);
			addRun(1_000, "d2", 1, false);
			GuaranteeCheckTests.this.targets.checkAll(List.of(), List.of());
			assertThat(violationCount(Guarantee.WEIGHTS), equalTo(1));
		}

		// Guards against a check that blames the agent when an engine turned cold without
		// announcing it.
		@Test
		void coldLimitHoldsUnlessTheEngineTurnedColdWithoutASign() {
			addRun(1_000, "d1", 3, true);
			addRun(9_000, "d1", 3, true);
			addRun(9_000, "d1", 2, true);
			addFault(FaultKind.ENGINE_COLD, 8_900, 9_500, "engine-1");
			GuaranteeCheckTests.this.targets.checkAll(List.of(), List.of());
			assertThat(violationCount(Guarantee.COLD), equalTo(1));
		}

		// Guards against a check that misses late requests or reports a domain
		// that was cut off.
		@Test
		void noWorkAfterADomainIsOut() {
			addRun(14_900, "d1", 1, false);
			addRun(15_500, "d1", 1, false);
			addRun(31_000, "d1", 1, false);
			GuaranteeCheckTests.this.targets.checkAll(List.of(new FaultRules.Out("a", 11_000, 30_000)), List.of());
			assertThat(violationCount(Guarantee.DOMAIN_OUT), equalTo(1));
			addFault(FaultKind.LINK_CUT, 10_000, 16_000, "a", "b");
			GuaranteeCheckTests.this.targets.checkAll(List.of(new FaultRules.Out("a", 11_000, 30_000)), List.of());
			assertThat(violationCount(Guarantee.DOMAIN_OUT), equalTo(1));
		}

		// Guards against a check that misses requests run by a target that is leaving.
		@Test
		void noWorkOnALeavingTarget() {
			addRun(4_500, "d1", 1, false);
			GuaranteeCheckTests.this.history.recordDeparture(new FaultHistory.Leaving("engine-1", 0, 5_000));
			GuaranteeCheckTests.this.targets.checkAll(List.of(), List.of());
			assertThat(violationCount(Guarantee.LEAVING), equalTo(1));
		}

		// Guards against checks that miss an order run twice, or a request that ran
		// although it
		// was refused.
		@Test
		void ordersRunAtMostOnceAndNotWhenRefused() {
			addRun(1_000, "d1", 1, false);
			addRun(2_000, "d1", 1, false);
			GuaranteeCheckTests.this.targets.checkAll(List.of(), List.of(request(LoadOutcome.REFUSED, 503, 900)));
			assertThat(violationCount(Guarantee.AT_MOST_ONCE), equalTo(1));
			assertThat(violationCount(Guarantee.NOT_RUN), equalTo(1));
		}

		// Guards against a check that accepts a response to a request that never ran.
		@Test
		void answeredRequestsWereRun() {
			GuaranteeCheckTests.this.targets.checkAll(List.of(), List.of(request(LoadOutcome.WHOLE, 200, 900)));
			assertThat(violationCount(Guarantee.ANSWER), equalTo(1));
		}

	}

	@Nested
	class Callers {

		// Guards against a check that misses a connection closed by an entry
		// that shuts down.
		@Test
		void shutdownAbortsNothing() {
			GuaranteeCheckTests.this.history.recordShutdown(new FaultHistory.Shutdown("entry-1", 1_000, 5_000, 0));
			new CallerChecks(GuaranteeCheckTests.this.history, GuaranteeCheckTests.this.violations)
				.checkAll(List.of(request(LoadOutcome.LOST, 0, 2_000), request(LoadOutcome.LOST, 0, 7_000),
						request(LoadOutcome.REFUSED, 503, 2_000), request(LoadOutcome.WRONG, 200, 9_000)));
			assertThat(violationCount(Guarantee.SHUTDOWN), equalTo(1));
			assertThat(violationCount(Guarantee.ANSWER), equalTo(1));
		}

	}

	@Nested
	class Connections {

		// Guards against a check that misses an entry that stops accepting too early.
		@Test
		void areAcceptedDuringTheLagOfTheBalancer() {
			GuaranteeCheckTests.this.history.recordShutdown(new FaultHistory.Shutdown("entry-1", 1_000, 5_000, 0));
			new CallerChecks(GuaranteeCheckTests.this.history, GuaranteeCheckTests.this.violations)
				.checkRefusedConnections(List.of(new FaultLoad.Refused("entry-1", 1_200),
						new FaultLoad.Refused("entry-1", 3_000), new FaultLoad.Refused("entry-2", 1_200)), 1_500);
			assertThat(violationCount(Guarantee.SHUTDOWN), equalTo(1));
		}

	}

	@Nested
	class Revisions {

		private void check(RevisionMonitor.Observation... seen) {
			new RevisionChecks(GuaranteeCheckTests.this.history, (instance) -> "a", GuaranteeCheckTests.this.violations)
				.checkAll(List.of(new FaultRules.Accepted(5, 10_000)), List.of(seen), 0);
		}

		private RevisionMonitor.Observation observation(long atMillis, long revision) {
			return new RevisionMonitor.Observation("entry-1", 1, atMillis, atMillis + 5, revision);
		}

		// Guards against a check that misses a process whose rules are outdated.
		@Test
		void acceptedChangesAreInForceInTime() {
			check(observation(13_000, 4), observation(13_600, 4));
			assertThat(violationCount(Guarantee.CONFIGURATION), equalTo(1));
		}

		// Guards against a check that counts the time of a store outage as a delay of the
		// fleet.
		@Test
		void aStoreThatFailsAfterAcceptanceAllowsMoreTime() {
			addFault(FaultKind.STORE_OUTAGE, 10_500, 14_000);
			check(observation(19_000, 4));
			assertThat(violationCount(Guarantee.CONFIGURATION), equalTo(0));
			check(observation(19_600, 4));
			assertThat(violationCount(Guarantee.CONFIGURATION), equalTo(1));
		}

		// Guards against a check that misses a process that goes back to an
		// older revision.
		@Test
		void revisionsNeverRevert() {
			check(observation(11_000, 6), observation(11_500, 5));
			assertThat(violationCount(Guarantee.CONFIGURATION), equalTo(1));
		}

	}

}
