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
	private static final long REPEAT_ORDER_MS = 1_000;

	private final EngineClient engine;

	private final DecisionLog log;

	private final Consumer<EngineClient.EngineState> accepted;

	private final Counter answers;

	private boolean checking;

	private long orderedNanos;

	private long orderedVersion;

	/**
	 * Creates orders for an engine.
	 * @param engine the engine
	 * @param log receives each order
	 * @param registry registry of the process
	 * @param accepted told of each order that the engine accepted
	 */
	LoadOrders(EngineClient engine, DecisionLog log, PrometheusRegistry registry,
			Consumer<EngineClient.EngineState> accepted) {
		this.engine = engine;
		this.log = log;
		this.accepted = accepted;
		this.answers = Counter.builder()
			.name("baobabknot_load_orders")
			.help("orders to load weights by the status of their answers")
			.labelNames("status")
			.register(registry);
	}

	/**
	 * Forgets the last order, because the engine has the version or has started again.
	 */
	void forget() {
		this.orderedVersion = 0;
	}

	/**
	 * Tells whether an order for a version may be given.
	 * @param version the version
	 * @param nowNanos monotonic time
	 * @return false while chunks are read back, or shortly after the same order
	 */
	boolean allowed(long version, long nowNanos) {
		boolean repeated = this.orderedVersion == version
				&& nowNanos - this.orderedNanos < TimeUnit.MILLISECONDS.toNanos(REPEAT_ORDER_MS);
		return !this.checking && !repeated;
	}

	/**
	 * Reads all staged chunks back and gives the order if they are good.
	 * @param fetch the version
	 * @param state state of the engine
	 */
	void check(VersionFetch fetch, EngineClient.EngineState state) {
		this.checking = true;
		int chunks = fetch.chunks().manifest().chunkCount();
		List<CompletableFuture<Boolean>> checks = new ArrayList<>();
		for (int index = 0; index < chunks; index++) {
			int number = index;
			checks.add(this.engine.readStagedChunk(fetch.model(), index).thenApply((bytes) -> {
				boolean good = bytes.isPresent()
						&& Digests.of(bytes.get()).equals(fetch.chunks().manifest().chunkDigests().get(number));
				if (!good) {
					fetch.restage(number);
				}
				return good;
			}));
		}
		CompletableFuture.allOf(checks.toArray(CompletableFuture[]::new)).thenRun(() -> {
			this.checking = false;
			if (checks.stream().allMatch(CompletableFuture::join)) {
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
		this.orderedNanos = System.nanoTime();
		this.orderedVersion = fetch.version();
		this.engine.orderLoad(fetch.model(), fetch.version(), state.acceptedOrders()).thenAccept((status) -> {
			if (status.isPresent() && EngineClient.isAccepted(status.get())) {
				this.accepted.accept(state);
			}
			this.answers.labelValues(status.map(String::valueOf).orElse("none")).inc();
			this.log.line(DecisionLog.Importance.STATE, "load-ordered")
				.with("version", fetch.version())
				.with("status", status.orElse(0))
				.with("running", state.runningRequests())
				.with("waiting", state.queuedRequests())
				.write();
		});
	}

}
