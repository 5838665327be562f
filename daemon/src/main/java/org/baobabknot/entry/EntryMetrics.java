package org.baobabknot.entry;

import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Counters of an entry.
 */
final class EntryMetrics {

	private final Counter ended;

	private final CounterDataPoint whole;

	private final CounterDataPoint attempts;

	private final CounterDataPoint resolves;

	private final CounterDataPoint callers;

	private final CounterDataPoint callersRefused;

	EntryMetrics(PrometheusRegistry registry) {
		this.ended = Counter.builder()
			.name("baobabknot_requests")
			.help("requests of callers by how they ended")
			.labelNames("end")
			.register(registry);
		this.whole = this.ended.labelValues("whole");
		this.attempts = counter(registry, "baobabknot_attempts", "requests sent to agents");
		this.resolves = counter(registry, "baobabknot_resolves", "questions about requests on lost connections");
		this.callers = counter(registry, "baobabknot_callers", "accepted connections of callers");
		this.callersRefused = counter(registry, "baobabknot_callers_refused", "connections of callers over the limit");
	}

	void gauge(PrometheusRegistry registry, String name, String help, java.util.function.IntSupplier value) {
		GaugeWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsInt()))
			.register(registry);
	}

	void whole() {
		this.whole.inc();
	}

	void ended(String how) {
		this.ended.labelValues(how).inc();
	}

	void attempt() {
		this.attempts.inc();
	}

	void resolve() {
		this.resolves.inc();
	}

	void caller() {
		this.callers.inc();
	}

	void callerRefused() {
		this.callersRefused.inc();
	}

	private static CounterDataPoint counter(PrometheusRegistry registry, String name, String help) {
		return Counter.builder().name(name).help(help).register(registry);
	}

}
