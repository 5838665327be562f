package org.baobabknot.agent;

import java.util.concurrent.atomic.LongAdder;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.baobabknot.protocol.generated.RefusalReason;
import org.baobabknot.record.RequestRecord;

/**
 * Metrics of the requests that the agent receives.
 */
final class AgentMetrics {

	private final LongAdder responseBytes = new LongAdder();

	private final Counter requests;

	private final Counter refusals;

	private final Counter claimCalls;

	AgentMetrics(PrometheusRegistry registry, TargetAdmission admission, RequestRecord record) {
		this.requests = Counter.builder()
			.name("baobabknot_agent_requests_total")
			.help("Requests by how they ended")
			.labelNames("outcome")
			.register(registry);
		this.refusals = Counter.builder()
			.name("baobabknot_agent_refused_total")
			.help("Requests refused as not run")
			.labelNames("reason")
			.register(registry);
		this.claimCalls = Counter.builder()
			.name("baobabknot_agent_claim_calls_total")
			.help("Calls to the store for claims of idempotency keys")
			.labelNames("call")
			.register(registry);
		gauge(registry, "running", "Requests running on the target", admission::running);
		gauge(registry, "queued", "Requests waiting for the target", admission::queued);
		gauge(registry, "limit", "Requests that may run on the target now", admission.limiter()::limit);
		gauge(registry, "recorded", "Non-idempotent requests in the record", record::size);
	}

	private static void gauge(PrometheusRegistry registry, String name, String help,
			java.util.function.IntSupplier value) {
		GaugeWithCallback.builder()
			.name("baobabknot_agent_" + name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsInt()))
			.register(registry);
	}

	void recordOutcome(String outcome) {
		this.requests.labelValues(outcome).inc();
	}

	void recordRefusal(RefusalReason reason) {
		this.refusals.labelValues(reason.name()).inc();
	}

	void recordClaimCall(String call) {
		this.claimCalls.labelValues(call).inc();
	}

	void recordResponseBytes(int bytes) {
		this.responseBytes.add(bytes);
	}

	long responseBytes() {
		return this.responseBytes.sum();
	}

}
