package org.baobabknot.gateway;

import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

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

	private final Counter attemptCancelled;

	private final Counter retryStarted;

	private final Counter responseUnmatched;

	private final Counter statementUnread;

	private final Counter permitRequested;

	private final Histogram requestSeconds;

	GatewayMetrics(PrometheusRegistry registry, LongSupplier droppedLines, Supplier<Map<String, Double>> limits) {
		this.requestCompleted = Counter.builder()
			.name("baobabknot_requests")
			.help("requests of callers by how they ended")
			.labelNames("end")
			.register(registry);
		this.attemptStarted = Counter.builder()
			.name("baobabknot_attempts")
			.help("requests sent to targets")
			.register(registry);
		this.attemptCancelled = Counter.builder()
			.name("baobabknot_cancelled_attempts")
			.help("attempts that were open when their request ended, by how it ended")
			.labelNames("end")
			.register(registry);
		this.retryStarted = Counter.builder()
			.name("baobabknot_repeats")
			.help("requests sent to a further target")
			.register(registry);
		this.responseUnmatched = Counter.builder()
			.name("baobabknot_unmatched_responses")
			.help("responses of targets that were not shown to belong to the request on their connection")
			.register(registry);
		this.statementUnread = Counter.builder()
			.name("baobabknot_unread_statements")
			.help("statements of targets about themselves that were not understood")
			.register(registry);
		this.permitRequested = Counter.builder()
			.name("baobabknot_permits")
			.help("permits for requests to targets that state a limit, by what came of them")
			.labelNames("result")
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
		GaugeWithCallback.builder()
			.name("baobabknot_target_limit")
			.help("requests per second that a target takes from all entries together, as it states")
			.labelNames("target")
			.callback((callback) -> limits.get().forEach((target, rate) -> callback.call(rate, target)))
			.register(registry);
	}

	void requestCompleted(String outcome, long durationMs) {
		this.requestCompleted.labelValues(outcome).inc();
		this.requestSeconds.labelValues(outcome).observe(durationMs / MILLIS_PER_SECOND);
	}

	void attemptStarted() {
		this.attemptStarted.inc();
	}

	void attemptsCancelled(String outcome, int count) {
		this.attemptCancelled.labelValues(outcome).inc(count);
	}

	void responseUnmatched() {
		this.responseUnmatched.inc();
	}

	void statementUnread() {
		this.statementUnread.inc();
	}

	void permitRequested(PermitResult result) {
		this.permitRequested.labelValues(result.label()).inc();
	}

	void retryStarted() {
		this.retryStarted.inc();
	}

}
