package org.baobabknot.entry;

import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Metrics of an entry.
 */
final class EntryMetrics {

	private final Counter ended;

	private final CounterDataPoint completed;

	private final CounterDataPoint attempts;

	private final CounterDataPoint resolves;

	private final CounterDataPoint acceptedConnections;

	private final CounterDataPoint refusedConnections;

	EntryMetrics(PrometheusRegistry registry) {
		this.ended = Counter.builder()
			.name("baobabknot_requests")
			.help("requests of callers by how they ended")
			.labelNames("end")
			.register(registry);
		this.completed = this.ended.labelValues("whole");
		this.attempts = counter(registry, "baobabknot_attempts", "requests sent to agents");
		this.resolves = counter(registry, "baobabknot_resolves", "questions about requests on lost connections");
		this.acceptedConnections = counter(registry, "baobabknot_callers", "accepted connections of callers");
		this.refusedConnections = counter(registry, "baobabknot_callers_refused",
				"connections of callers over the limit");
	}

	void registerGauge(PrometheusRegistry registry, String name, String help, java.util.function.IntSupplier value) {
		GaugeWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsInt()))
			.register(registry);
	}

	void completed() {
		this.completed.inc();
	}

	void ended(String outcome) {
		this.ended.labelValues(outcome).inc();
	}

	void attemptStarted() {
		this.attempts.inc();
	}

	void resolveSent() {
		this.resolves.inc();
	}

	void connectionAccepted() {
		this.acceptedConnections.inc();
	}

	void connectionRefused() {
		this.refusedConnections.inc();
	}

	private static CounterDataPoint counter(PrometheusRegistry registry, String name, String help) {
		return Counter.builder().name(name).help(help).register(registry);
	}

}
