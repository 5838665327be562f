package org.baobabknot.loader;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.baobabknot.observe.DecisionLog;
import org.baobabknot.provider.EngineClient;

/**
 * Sends load orders, which make an engine load the staged version. The engine does not
 * verify what it loads and staged chunks may become corrupt, so every chunk is read back
 * and compared with the manifest right before an order. Confined to one event loop.
 */
final class LoadOrders {

	/** Time after which an order that had no visible effect is repeated. */
	private static final long ORDER_REPEAT_MS = 1_000;

	private final EngineClient engine;

	private final DecisionLog log;

	private final Consumer<EngineClient.EngineState> acceptedListener;

	private final Counter responsesByStatus;

	private boolean verifying;

	private long lastOrderNanos;

	private long lastOrderVersion;

	/**
	 * Creates the sender of load orders for an engine.
	 * @param engine the engine
	 * @param log receives an event for each order
	 * @param registry metrics registry of the process
	 * @param acceptedListener called with the engine's state before the order, for each
	 * order that the engine accepted
	 */
	LoadOrders(EngineClient engine, DecisionLog log, PrometheusRegistry registry,
			Consumer<EngineClient.EngineState> acceptedListener) {
		this.engine = engine;
		this.log = log;
		this.acceptedListener = acceptedListener;
		this.responsesByStatus = Counter.builder()
			.name("baobabknot_load_orders")
			.help("orders to load weights by the status of their answers")
			.labelNames("status")
			.register(registry);
	}

	/**
	 * Clears the last order, because the engine runs the version or has restarted.
	 */
	void clearLastOrder() {
		this.lastOrderVersion = 0;
	}

	/**
	 * Returns whether an order for a version may be sent now.
	 * @param version the version
	 * @param nowNanos monotonic time
	 * @return false while staged chunks are verified, or within {@link #ORDER_REPEAT_MS}
	 * of the last order for the same version
	 */
	boolean mayOrder(long version, long nowNanos) {
		boolean repeated = this.lastOrderVersion == version
				&& nowNanos - this.lastOrderNanos < TimeUnit.MILLISECONDS.toNanos(ORDER_REPEAT_MS);
		return !this.verifying && !repeated;
	}

	/**
	 * Reads all staged chunks back and sends the order if they match the manifest.
	 * Otherwise marks the corrupt chunks to be staged again.
	 * @param fetch fetch of the version
	 * @param state state of the engine
	 */
	void verifyAndOrder(VersionFetch fetch, EngineClient.EngineState state) {
		this.verifying = true;
		int chunks = fetch.chunks().manifest().chunkCount();
		List<CompletableFuture<Boolean>> verifications = new ArrayList<>();
		for (int index = 0; index < chunks; index++) {
			int chunkIndex = index;
			String digest = fetch.chunks().manifest().chunkDigests().get(index);
			verifications.add(this.engine.readStagedChunk(fetch.model(), index, digest).thenApply((bytes) -> {
				if (bytes.isEmpty()) {
					fetch.restage(chunkIndex);
				}
				return bytes.isPresent();
			}));
		}
		CompletableFuture.allOf(verifications.toArray(CompletableFuture[]::new)).thenRun(() -> {
			this.verifying = false;
			if (verifications.stream().allMatch(CompletableFuture::join)) {
				order(fetch, state);
			}
			else {
				this.log.line(DecisionLog.Importance.FAILURE, "staged-chunk-bad")
					.with("version", fetch.version())
					.write();
			}
		});
	}

	private void order(VersionFetch fetch, EngineClient.EngineState state) {
		this.lastOrderNanos = System.nanoTime();
		this.lastOrderVersion = fetch.version();
		this.engine.orderLoad(fetch.model(), fetch.version(), state.acceptedOrders()).thenAccept((status) -> {
			if (status.isPresent() && EngineClient.isAccepted(status.get())) {
				this.acceptedListener.accept(state);
			}
			this.responsesByStatus.labelValues(status.map(String::valueOf).orElse("none")).inc();
			this.log.line(DecisionLog.Importance.STATE, "load-ordered")
				.with("version", fetch.version())
				.with("status", status.orElse(0))
				.with("running", state.runningRequests())
				.with("waiting", state.queuedRequests())
				.write();
		});
	}

}
