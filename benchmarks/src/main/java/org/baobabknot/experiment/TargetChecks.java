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
 * Checks the guarantees by what the targets themselves recorded.
 */
final class TargetChecks {

	/**
	 * Bound of 3 s from section 2.1, and 1 s for a busy machine.
	 */
	private static final long NO_NEW_WORK_MILLIS = 3_000 + 1_000;

	/**
	 * Time in which an agent may not yet know that its engine has turned cold without a
	 * sign. The engine reports its load with a lag.
	 */
	private static final long UNANNOUNCED_COLD_MILLIS = 2_000;

	private final Map<String, String> digests;

	private final FaultHistory history;

	private final Violations violations;

	private final List<Run> runs = new ArrayList<>();

	TargetChecks(Map<String, String> digests, FaultHistory history, Violations violations) {
		this.digests = digests;
		this.history = history;
		this.violations = violations;
	}

	void read(Fleet fleet) throws IOException, InterruptedException {
		for (Deployment.Instance instance : fleet.deployment().instances()) {
			if (!instance.isEntry()) {
				fleet.readRecord(instance.name()).path("requests").forEach((request) -> add(instance, request));
			}
		}
	}

	void add(Deployment.Instance instance, JsonNode request) {
		this.runs.add(new Run(instance, request));
	}

	int runs() {
		return this.runs.size();
	}

	void checkAll(List<FaultRules.Out> outs, List<FaultRequest> requests) {
		this.runs.forEach(this::weights);
		this.runs.forEach(this::cold);
		outs.forEach(this::domainOut);
		this.history.departures().forEach(this::leaving);
		Map<String, Integer> counts = new HashMap<>();
		this.runs.forEach((run) -> counts.merge(run.bodyDigest(), 1, Integer::sum));
		requests.forEach((request) -> notRunAndOnce(request, counts.getOrDefault(digest(request), 0)));
	}

	private static String digest(FaultRequest request) {
		return Digests.of(request.request().body());
	}

	private void weights(Run run) {
		if (!run.engine()) {
			return;
		}
		String published = this.digests.get(run.text("version"));
		if (!run.text("digest").equals(published)) {
			this.violations.add(Guarantee.WEIGHTS, run + ": not the published bytes of its version");
		}
	}

	private void cold(Run run) {
		int limit = run.instance().service().map(Deployment.Service::coldLimit).orElse(0);
		if (!run.request().path("cold").asBoolean() || run.number("running") <= limit) {
			return;
		}
		long coldSince = run.number("at_ms") - run.number("cold_ms");
		boolean unannounced = this.history.overlaps((kind) -> kind == FaultKind.ENGINE_COLD,
				Set.of(run.instance().name()), coldSince - 200, coldSince + 200)
				&& run.number("cold_ms") < UNANNOUNCED_COLD_MILLIS;
		if (!unannounced) {
			this.violations.add(Guarantee.COLD, run + ": above the limit of " + limit);
		}
	}

	private void domainOut(FaultRules.Out out) {
		long from = out.fromMillis() + NO_NEW_WORK_MILLIS;
		// A failure domain that is cut off cannot learn of the change.
		long learnt = this.history.lastEnd((kind) -> kind.isLinkFault() || kind.isStoreFault(), Set.of(out.domain()),
				out.fromMillis(), out.toMillis());
		long bound = Math.max(from, (learnt > out.fromMillis()) ? learnt + NO_NEW_WORK_MILLIS : from);
		for (Run run : this.runs) {
			long resumed = this.history.lastEnd(FaultKind::isProcessFault, Set.of(run.instance().name()),
					out.fromMillis(), run.arrived());
			boolean process = resumed > out.fromMillis() && run.arrived() < resumed + NO_NEW_WORK_MILLIS;
			if (run.instance().domain().name().equals(out.domain()) && run.arrived() > bound
					&& run.arrived() < out.toMillis() && !process) {
				this.violations.add(Guarantee.DOMAIN_OUT,
						run + ": " + (run.arrived() - out.fromMillis()) + " ms after " + out);
			}
		}
	}

	private void leaving(FaultHistory.Leaving leaving) {
		if (leaving.knownMillis() == Long.MAX_VALUE) {
			return;
		}
		for (Run run : this.runs) {
			if (run.instance().name().equals(leaving.instance())
					&& run.arrived() > leaving.knownMillis() + NO_NEW_WORK_MILLIS
					&& run.arrived() < leaving.replacedMillis()) {
				this.violations.add(Guarantee.LEAVING, run + ": after " + leaving);
			}
		}
	}

	private void notRunAndOnce(FaultRequest request, int count) {
		if (request.allAttemptsEnded(LoadOutcome.REFUSED) && count > 0) {
			this.violations.add(Guarantee.NOT_RUN, "ran " + count + " times: " + request);
		}
		boolean order = request.request().kind().equals(Workload.ORDER)
				|| request.request().kind().equals(Workload.KEYED_ORDER);
		if (order && count > 1) {
			this.violations.add(Guarantee.AT_MOST_ONCE, "ran " + count + " times: " + request);
		}
		if (request.anyAttemptEnded(LoadOutcome.WHOLE) && count == 0) {
			this.violations.add(Guarantee.ANSWER, "answered but never run: " + request);
		}
	}

	/**
	 * One request that a target ran.
	 *
	 * @param instance the instance of the target
	 * @param request its entry in the record
	 */
	private record Run(Deployment.Instance instance, JsonNode request) {

		boolean engine() {
			return this.instance.service().filter(Deployment.Service::engine).isPresent();
		}

		String text(String field) {
			return this.request.path(field).asText();
		}

		long number(String field) {
			return this.request.path(field).asLong();
		}

		String bodyDigest() {
			return text("body_digest");
		}

		long arrived() {
			return number("arrived_ms");
		}

		@Override
		public String toString() {
			return this.instance.name() + " " + this.request;
		}

	}

}
