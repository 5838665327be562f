package org.baobabknot.observe;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.baobabknot.provider.StoreClient;

/**
 * Records the bytes and durations of calls to the platform's store and its era, and logs
 * calls that got no complete response or a large one.
 */
public final class StoreCallMetrics implements StoreClient.Observer {

	/** Response size from which on a call is logged: many times a list of targets. */
	private static final int LARGE_RESPONSE_BYTES = 64 << 10;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final DecisionLog log;

	private final Counter bytes;

	private final Histogram seconds;

	private final Gauge era;

	/**
	 * Creates the metrics.
	 * @param registry metrics registry of the process
	 * @param log receives an event for each logged call
	 */
	public StoreCallMetrics(PrometheusRegistry registry, DecisionLog log) {
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
		this.era = Gauge.builder()
			.name("baobabknot_store_era")
			.help("era that the store stated last, which rises with each restore of the store")
			.register(registry);
	}

	@Override
	public void onCallEnded(StoreClient.CallRecord call) {
		String answered = Boolean.toString(call.hasResponse());
		this.bytes.labelValues(call.operation(), answered).inc(call.receivedBytes());
		this.seconds.labelValues(call.operation(), answered).observe(call.tookMs() / MILLIS_PER_SECOND);
		if (!call.hasResponse() || call.receivedBytes() >= LARGE_RESPONSE_BYTES) {
			this.log.line(DecisionLog.Importance.STATE, "store-call")
				.with("call", call.operation())
				.with("keys", call.keysOrPath())
				.with("outcome", call.outcome())
				.with("bytes", call.receivedBytes())
				.with("tookMs", call.tookMs())
				.write();
		}
	}

	@Override
	public void onEra(long previous, long stated) {
		this.era.set(stated);
		this.log.line(DecisionLog.Importance.STATE, "store-era").with("previous", previous).with("era", stated).write();
	}

}
