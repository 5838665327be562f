package org.baobabknot.daemon;

import java.util.function.DoubleSupplier;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.baobabknot.gossip.RuleSync;
import org.baobabknot.protocol.ProtocolCounters;

/**
 * Metrics that every process has.
 */
final class ProcessMetrics {

	private ProcessMetrics() {
	}

	static void register(Node node, RuleSync rules) {
		PrometheusRegistry registry = node.metrics();
		ProtocolCounters counters = node.counters();
		gauge(registry, "baobabknot_rules_revision", "revision of the rules in force",
				() -> node.configuration().revision());
		gauge(registry, "baobabknot_members_version", "version of the member list", () -> node.membership().version());
		gauge(registry, "baobabknot_connections", "open connections to other processes", () -> node.peers().count());
		counter(registry, "baobabknot_connections_garbage", "connections closed because of invalid bytes or no Hello",
				counters.garbage()::sum);
		counter(registry, "baobabknot_connections_violations", "connections closed because of a protocol violation",
				counters.violations()::sum);
		counter(registry, "baobabknot_connections_refused", "connections whose Hello was refused",
				counters.refusedHellos()::sum);
		counter(registry, "baobabknot_connections_silent", "connections closed because of an overdue pong",
				counters.pongTimeouts()::sum);
		counter(registry, "baobabknot_frames_received", "frames received", counters.framesReceived()::sum);
		counter(registry, "baobabknot_frames_sent", "frames sent", counters.framesSent()::sum);
		counter(registry, "baobabknot_rules_refused", "rule sets refused as invalid or conflicting", rules::refused);
		counter(registry, "baobabknot_pauses", "pauses of this process of more than 1 s", node.pauses()::pauses);
	}

	private static void gauge(PrometheusRegistry registry, String name, String help, DoubleSupplier value) {
		GaugeWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsDouble()))
			.register(registry);
	}

	private static void counter(PrometheusRegistry registry, String name, String help, DoubleSupplier value) {
		CounterWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsDouble()))
			.register(registry);
	}

}
