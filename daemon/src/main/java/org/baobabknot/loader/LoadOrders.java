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
import org.baobabknot.weights.Digests;

/**
 * Orders an engine to load what is staged. The engine checks nothing, and what lies in
 * its staging area may turn bad, so every chunk is read back right before the order. Runs
 * on one event loop.
 */
final class LoadOrders {

	/** Time after which an order that had no visible effect is given again. */
	private static final long ORDER_REPEAT_MS = 1_000;

	private final EngineClient engine;

	private final DecisionLog log;

	private final Consumer<EngineClient.State> acceptedListener;

	private final Counter responsesByStatus;

	private boolean verifying;

	private long lastOrderNanos;

	private long lastOrderVersion;

	/**
	 * Creates orders for an engine.
	 * @param engine the engine
	 * @param log receives each order
	 * @param registry registry of the process
	 * @param acceptedListener told of each order that the engine accepted
	 */
	LoadOrders(EngineClient engine, DecisionLog log, PrometheusRegistry registry,
			Consumer<EngineClient.State> acceptedListener) {
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
	 * Forgets the last order, because the engine has the version or has started again.
	 */
	void clearLastOrder() {
		this.lastOrderVersion = 0;
	}

	/**
	 * Tells whether an order for a version may be given.
	 * @param version the version
	 * @param nowNanos monotonic time
	 * @return false while chunks are read back, or shortly after the same order
	 */
	boolean mayOrder(long version, long nowNanos) {
		boolean repeated = this.lastOrderVersion == version
				&& nowNanos - this.lastOrderNanos < TimeUnit.MILLISECONDS.toNanos(ORDER_REPEAT_MS);
		return !this.verifying && !repeated;
	}

	/**
	 * Reads all staged chunks back and gives the order if they are good.
	 * @param fetch the version
	 * @param state state of the engine
	 */
	void verifyAndOrder(VersionFetch fetch, EngineClient.State state) {
		this.verifying = true;
		int chunks = fetch.chunks().manifest().chunks();
		List<CompletableFuture<Boolean>> verifications = new ArrayList<>();
		for (int index = 0; index < chunks; index++) {
			int chunkIndex = index;
			verifications.add(this.engine.staged(fetch.model(), index).thenApply((bytes) -> {
				boolean valid = bytes.isPresent()
						&& Digests.of(bytes.get()).equals(fetch.chunks().manifest().chunkDigests().get(chunkIndex));
				if (!valid) {
					fetch.restage(chunkIndex);
				}
				return valid;
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

	private void order(VersionFetch fetch, EngineClient.State state) {
		this.lastOrderNanos = System.nanoTime();
		this.lastOrderVersion = fetch.version();
		this.engine.load(fetch.model(), fetch.version(), state.orders()).thenAccept((status) -> {
			if (status.isPresent() && EngineClient.accepted(status.get())) {
				this.acceptedListener.accept(state);
			}
			this.responsesByStatus.labelValues(status.map(String::valueOf).orElse("none")).inc();
			this.log.line(DecisionLog.Importance.STATE, "load-ordered")
				.with("version", fetch.version())
				.with("status", status.orElse(0))
				.with("running", state.running())
				.with("waiting", state.waiting())
				.write();
		});
	}

}
