package org.baobabknot.experiment;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.baobabknot.experiment.Violations.Guarantee;
import org.baobabknot.load.LoadOutcome;
import org.baobabknot.load.Workload;
import org.baobabknot.weights.Digests;

/**
 * Checks the guarantees against the requests that the targets recorded.
 */
final class TargetChecks {

	/**
	 * Bound of 3 s from section 2.1 of the design page, plus 1 s for a busy machine.
	 */
	private static final long MAX_NEW_WORK_DELAY_MS = 3_000 + 1_000;

	/**
	 * Time during which an agent may not have learned that its engine has become cold
	 * without announcing it, because the engine reports its load with a lag.
	 */
	private static final long MAX_UNANNOUNCED_COLD_MS = 2_000;

	private final Map<String, String> digests;

	private final FaultHistory history;

	private final Violations violations;

	private final List<RecordedRun> runs = new ArrayList<>();

	TargetChecks(Map<String, String> digests, FaultHistory history, Violations violations) {
		this.digests = digests;
		this.history = history;
		this.violations = violations;
	}

	void readRecords(Fleet fleet) throws IOException, InterruptedException {
		for (Deployment.Instance instance : fleet.deployment().instances()) {
			if (!instance.isEntry()) {
				fleet.readRecord(instance.name()).path("requests").forEach((request) -> addRun(instance, request));
			}
		}
	}

	void addRun(Deployment.Instance instance, JsonNode request) {
		this.runs.add(new RecordedRun(instance, request));
	}

	int runCount() {
		return this.runs.size();
	}

	void checkAll(List<FaultRules.Out> outs, List<FaultRequest> requests) {
		this.runs.forEach(this::checkWeights);
		this.runs.forEach(this::checkColdLimit);
		outs.forEach(this::checkDomainOut);
		this.history.departures().forEach(this::checkLeaving);
		Map<String, Integer> counts = new HashMap<>();
		this.runs.forEach((run) -> counts.merge(run.bodyDigest(), 1, Integer::sum));
		requests.forEach((request) -> checkRunCount(request, counts.getOrDefault(bodyDigest(request), 0)));
	}

	private static String bodyDigest(FaultRequest request) {
		return Digests.of(request.request().body());
	}

	private void checkWeights(RecordedRun run) {
		if (!run.isEngine()) {
			return;
		}
		String publishedDigest = this.digests.get(run.text("version"));
		if (!run.text("digest").equals(publishedDigest)) {
			this.violations.add(Guarantee.WEIGHTS, run + ": not the published bytes of its version");
		}
	}

	private void checkColdLimit(RecordedRun run) {
		int limit = run.instance().service().map(Deployment.Service::coldLimit).orElse(0);
		if (!run.recordEntry().path("cold").asBoolean() || run.number("running") <= limit) {
			return;
		}
		long coldSinceMs = run.number("at_ms") - run.number("cold_ms");
		boolean unannounced = this.history.overlaps((kind) -> kind == FaultKind.ENGINE_COLD,
				Set.of(run.instance().name()), coldSinceMs - 200, coldSinceMs + 200)
				&& run.number("cold_ms") < MAX_UNANNOUNCED_COLD_MS;
		if (!unannounced) {
			this.violations.add(Guarantee.COLD, run + ": above the limit of " + limit);
		}
	}

	private void checkDomainOut(FaultRules.Out out) {
		long graceEndMs = out.fromMillis() + MAX_NEW_WORK_DELAY_MS;
		// A failure domain that is cut off cannot receive the change.
		long reachableMs = this.history.lastEnd((kind) -> kind.isLinkFault() || kind.isStoreFault(),
				Set.of(out.domain()), out.fromMillis(), out.toMillis());
		long deadlineMs = Math.max(graceEndMs,
				(reachableMs > out.fromMillis()) ? reachableMs + MAX_NEW_WORK_DELAY_MS : graceEndMs);
		for (RecordedRun run : this.runs) {
			long resumedMs = this.history.lastEnd(FaultKind::isProcessFault, Set.of(run.instance().name()),
					out.fromMillis(), run.arrivedMs());
			boolean processDisturbed = resumedMs > out.fromMillis()
					&& run.arrivedMs() < resumedMs + MAX_NEW_WORK_DELAY_MS;
			if (run.instance().domain().name().equals(out.domain()) && run.arrivedMs() > deadlineMs
					&& run.arrivedMs() < out.toMillis() && !processDisturbed) {
				this.violations.add(Guarantee.DOMAIN_OUT,
						run + ": " + (run.arrivedMs() - out.fromMillis()) + " ms after " + out);
			}
		}
	}

	private void checkLeaving(FaultHistory.Leaving leaving) {
		if (leaving.knownMillis() == Long.MAX_VALUE) {
			return;
		}
		for (RecordedRun run : this.runs) {
			if (run.instance().name().equals(leaving.instance())
					&& run.arrivedMs() > leaving.knownMillis() + MAX_NEW_WORK_DELAY_MS
					&& run.arrivedMs() < leaving.replacedMillis()) {
				this.violations.add(Guarantee.LEAVING, run + ": after " + leaving);
			}
		}
	}

	private void checkRunCount(FaultRequest request, int runCount) {
		if (request.allAttemptsEnded(LoadOutcome.REFUSED) && runCount > 0) {
			this.violations.add(Guarantee.NOT_RUN, "ran " + runCount + " times: " + request);
		}
		boolean atMostOnce = request.request().kind().equals(Workload.ORDER)
				|| request.request().kind().equals(Workload.KEYED_ORDER);
		if (atMostOnce && runCount > 1) {
			this.violations.add(Guarantee.AT_MOST_ONCE, "ran " + runCount + " times: " + request);
		}
		if (request.anyAttemptEnded(LoadOutcome.WHOLE) && runCount == 0) {
			this.violations.add(Guarantee.ANSWER, "answered but never run: " + request);
		}
	}

	/**
	 * A request that a target has run.
	 *
	 * @param instance the instance of the target
	 * @param recordEntry the entry of the request in the record of the target
	 */
	private record RecordedRun(Deployment.Instance instance, JsonNode recordEntry) {

		boolean isEngine() {
			return this.instance.service().filter(Deployment.Service::engine).isPresent();
		}

		String text(String field) {
			return this.recordEntry.path(field).asText();
		}

		long number(String field) {
			return this.recordEntry.path(field).asLong();
		}

		String bodyDigest() {
			return text("body_digest");
		}

		long arrivedMs() {
			return number("arrived_ms");
		}

		@Override
		public String toString() {
			return this.instance.name() + " " + this.recordEntry;
		}

	}

}
