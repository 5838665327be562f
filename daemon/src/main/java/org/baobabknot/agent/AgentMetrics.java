package org.baobabknot.agent;

import java.util.concurrent.atomic.LongAdder;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.baobabknot.protocol.generated.RefusalReason;
import org.baobabknot.record.RequestRecord;

/**
 * Metrics of the request path.
 */
final class AgentMetrics {

	private final LongAdder answerBytes = new LongAdder();

	private final Counter requests;

	private final Counter refused;

	private final Counter claims;

	AgentMetrics(PrometheusRegistry registry, Admission admission, RequestRecord record) {
		this.requests = Counter.builder()
			.name("baobabknot_agent_requests_total")
			.help("Requests by how they ended")
			.labelNames("outcome")
			.register(registry);
		this.refused = Counter.builder()
			.name("baobabknot_agent_refused_total")
			.help("Requests refused as not run")
			.labelNames("reason")
			.register(registry);
		this.claims = Counter.builder()
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

	void ended(String outcome) {
		this.requests.labelValues(outcome).inc();
	}

	void refused(RefusalReason reason) {
		this.refused.labelValues(reason.name()).inc();
	}

	void claimCall(String call) {
		this.claims.labelValues(call).inc();
	}

	void answered(int bytes) {
		this.answerBytes.add(bytes);
	}

	long answerBytes() {
		return this.answerBytes.sum();
	}

}
