package org.baobabknot.gateway;

import java.util.function.LongSupplier;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Prometheus metrics of a gateway.
 */
final class GatewayMetrics {

	private static final double MILLIS_PER_SECOND = 1_000;

	private final Counter requestCompleted;

	private final Counter attemptStarted;

	private final Counter retryStarted;

	private final Counter responseUnmatched;

	private final Histogram requestSeconds;

	GatewayMetrics(PrometheusRegistry registry, LongSupplier droppedLines) {
		this.requestCompleted = Counter.builder()
			.name("baobabknot_requests")
			.help("requests of callers by how they ended")
			.labelNames("end")
			.register(registry);
		this.attemptStarted = Counter.builder()
			.name("baobabknot_attempts")
			.help("requests sent to targets")
			.register(registry);
		this.retryStarted = Counter.builder()
			.name("baobabknot_repeats")
			.help("requests sent to a further target")
			.register(registry);
		this.responseUnmatched = Counter.builder()
			.name("baobabknot_unmatched_responses")
			.help("responses of targets that were not shown to belong to the request on their connection")
			.register(registry);
		this.requestSeconds = Histogram.builder()
			.name("baobabknot_request_seconds")
			.help("time from the last byte of a request to the end of its answer")
			.labelNames("end")
			.classicUpperBounds(0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
			.classicOnly()
			.register(registry);
		GaugeWithCallback.builder()
			.name("baobabknot_log_lines_dropped")
			.help("log lines that were dropped because the output was slow")
			.callback((callback) -> callback.call(droppedLines.getAsLong()))
			.register(registry);
	}

	void requestCompleted(String outcome, long durationMs) {
		this.requestCompleted.labelValues(outcome).inc();
		this.requestSeconds.labelValues(outcome).observe(durationMs / MILLIS_PER_SECOND);
	}

	void attemptStarted() {
		this.attemptStarted.inc();
	}

	void responseUnmatched() {
		this.responseUnmatched.inc();
	}

	void retryStarted() {
		this.retryStarted.inc();
	}

}
