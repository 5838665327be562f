package org.baobabknot.observe;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.baobabknot.provider.StoreClient;

/**
 * Counts the calls of the platform's store and writes a line for those that failed, were
 * slow or carried much.
 */
public final class StoreCalls implements StoreClient.Observer {

	/** Bytes of an answer that are worth a line: many times a list of targets. */
	private static final int LARGE_BYTES = 64 << 10;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final DecisionLog log;

	private final Counter bytes;

	private final Histogram seconds;

	/**
	 * Creates the counters.
	 * @param registry registry of the process
	 * @param log receives the lines
	 */
	public StoreCalls(PrometheusRegistry registry, DecisionLog log) {
		this.log = log;
		this.bytes = Counter.builder()
			.name("baobabknot_store_bytes")
			.help("bytes of the answers of the store, also of those that broke off")
			.labelNames("call", "answered")
			.register(registry);
		this.seconds = Histogram.builder()
			.name("baobabknot_store_seconds")
			.help("time of a call of the store, with the wait of a watch")
			.labelNames("call", "answered")
			.classicUpperBounds(0.01, 0.05, 0.2, 0.5, 1, 2, 4)
			.classicOnly()
			.register(registry);
	}

	@Override
	public void onCallEnded(StoreClient.CallRecord call) {
		String answered = Boolean.toString(call.hasResponse());
		this.bytes.labelValues(call.operation(), answered).inc(call.receivedBytes());
		this.seconds.labelValues(call.operation(), answered).observe(call.tookMs() / MILLIS_PER_SECOND);
		if (!call.hasResponse() || call.receivedBytes() >= LARGE_BYTES) {
			this.log.line(DecisionLog.Importance.STATE, "store-call")
				.with("call", call.operation())
				.with("keys", call.keysOrPath())
				.with("outcome", call.outcome())
				.with("bytes", call.receivedBytes())
				.with("tookMs", call.tookMs())
				.write();
		}
	}

}
