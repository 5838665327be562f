package org.baobabknot.loader;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.util.concurrent.Ticker;
import io.prometheus.metrics.core.metrics.Counter;
import org.baobabknot.distribution.StagingReservation;
import org.baobabknot.distribution.StagingReservation.Order;
import org.baobabknot.distribution.StagingReservation.OrderOutcome;
import org.baobabknot.distribution.StagingReservation.Verification;
import org.baobabknot.observe.DecisionLog;
import org.baobabknot.provider.EngineClient;
import org.baobabknot.provider.EngineClient.EngineState;
import org.baobabknot.provider.EngineClient.LoadOrderConnection;
import org.jspecify.annotations.Nullable;

/**
 * The staging area of one model at the engine. All writes, verifications and load orders
 * go through it, as {@link StagingReservation} decides. The engine does not verify what
 * it loads and staged chunks may become corrupt, so every chunk is read back and compared
 * with the manifest right before an order. Confined to one event loop.
 */
final class StagingArea {

	/** Time after which an order that had no visible effect is repeated. */
	private static final long ORDER_REPEAT_MS = 1_000;

	private final String model;

	private final EngineClient engine;

	private final DecisionLog log;

	private final Counter responsesByStatus;

	private final Consumer<EngineState> acceptedListener;

	private final Ticker ticker;

	private final StagingReservation reservation;

	private long lastOrderNanos;

	private @Nullable VersionFetch lastOrdered;

	/** Whether the effect of the last order has been seen, or its engine has ended. */
	private boolean lastOrderSettled = true;

	/**
	 * Creates the area of a model.
	 * @param model the model
	 * @param engine the engine
	 * @param log receives an event for each order
	 * @param responsesByStatus counts the orders by the status of their responses
	 * @param acceptedListener called with the engine's state before the order, for each
	 * order that the engine accepted
	 * @param ticker the clock
	 */
	StagingArea(String model, EngineClient engine, DecisionLog log, Counter responsesByStatus,
			Consumer<EngineState> acceptedListener, Ticker ticker) {
		this.model = model;
		this.engine = engine;
		this.log = log;
		this.responsesByStatus = responsesByStatus;
		this.acceptedListener = acceptedListener;
		this.ticker = ticker;
		this.reservation = new StagingReservation(ticker.nanoTime());
	}

	private long now() {
		return this.ticker.nanoTime();
	}

	/**
	 * Requests the area for a version.
	 * @param version the version
	 */
	void request(long version) {
		this.reservation.request(version, now());
	}

	/**
	 * Writes a chunk, if its version has the area.
	 * @param version version of the chunk
	 * @param index number of the chunk
	 * @param bytes the chunk
	 * @return whether the engine has stored it
	 */
	CompletableFuture<Boolean> write(long version, int index, byte[] bytes) {
		if (!this.reservation.mayWrite(version)) {
			return CompletableFuture.completedFuture(false);
		}
		this.reservation.recordWrite();
		return this.engine.stageChunk(this.model, index, bytes).thenApply((outcome) -> {
			this.reservation.recordWriteEnd(outcome.certain(), now());
			return outcome == EngineClient.WriteOutcome.STORED;
		});
	}

	/**
	 * Adds the chunks to a fetch that the engine still has staged from before a restart
	 * of this process.
	 * @param fetch fetch of the version
	 */
	void recover(VersionFetch fetch) {
		for (int index = 0; index < fetch.chunks().manifest().chunkCount(); index++) {
			int chunkIndex = index;
			read(fetch, index)
				.thenAccept((bytes) -> bytes.ifPresent((chunk) -> fetch.addStagedChunk(chunkIndex, chunk)));
		}
	}

	private CompletableFuture<Optional<byte[]>> read(VersionFetch fetch, int index) {
		return this.engine.readStagedChunk(this.model, index, fetch.chunks().manifest().chunkDigests().get(index));
	}

	/**
	 * Takes a state of the engine into account, and repeats an order that it may or may
	 * not have received.
	 * @param state the state
	 * @param sentNanos monotonic time at which it was asked for
	 */
	void recordState(EngineState state, long sentNanos) {
		this.reservation.recordState(state.startedMs(), state.acceptedOrders(), sentNanos, now());
		VersionFetch ordered = this.lastOrdered;
		if (ordered != null
				&& this.reservation.unansweredOrder().filter((version) -> version == ordered.version()).isPresent()) {
			orderIfDue(ordered, state);
		}
	}

	/**
	 * Records that no engine runs.
	 */
	void recordEngineEnded() {
		this.reservation.recordEngineEnded(now());
	}

	/**
	 * Clears the last order, because the engine runs the version or has restarted.
	 */
	void clearLastOrder() {
		this.lastOrderSettled = true;
	}

	/**
	 * Reads all staged chunks back and orders the engine to load them if they match the
	 * manifest. Otherwise writes the corrupt ones again. Does nothing while the engine
	 * loads, the area is not free for it, or within {@link #ORDER_REPEAT_MS} of the last
	 * order for the same version.
	 * @param fetch fetch of the version, which is complete
	 * @param state state of the engine
	 */
	void orderIfDue(VersionFetch fetch, EngineState state) {
		VersionFetch ordered = this.lastOrdered;
		boolean repeated = !this.lastOrderSettled && ordered != null && ordered.version() == fetch.version()
				&& now() - this.lastOrderNanos < TimeUnit.MILLISECONDS.toNanos(ORDER_REPEAT_MS);
		if (!state.loading() && !repeated) {
			this.reservation.beginVerification(fetch.version(), state.startedMs(), state.acceptedOrders())
				.ifPresent((verification) -> verify(fetch, verification));
		}
	}

	// The connection is opened before the chunks are read, so that the order can't reach
	// an engine that has started since.
	private void verify(VersionFetch fetch, Verification verification) {
		this.engine.connectForOrder().thenAccept((connection) -> {
			if (connection.isEmpty()) {
				this.reservation.endVerification(verification);
				return;
			}
			readBack(fetch)
				.thenCompose((intact) -> (intact) ? this.engine.state()
						: CompletableFuture.completedFuture(Optional.<EngineState>empty()))
				.thenAccept((state) -> order(fetch, verification, connection.get(), state));
		});
	}

	private CompletableFuture<Boolean> readBack(VersionFetch fetch) {
		List<CompletableFuture<Boolean>> reads = new ArrayList<>();
		for (int index = 0; index < fetch.chunks().manifest().chunkCount(); index++) {
			int chunkIndex = index;
			reads.add(read(fetch, index).thenApply((bytes) -> {
				if (bytes.isEmpty()) {
					writeAgain(fetch, chunkIndex);
				}
				return bytes.isPresent();
			}));
		}
		return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new)).thenApply((done) -> {
			boolean intact = reads.stream().allMatch(CompletableFuture::join);
			if (!intact) {
				this.log.line(DecisionLog.Importance.FAILURE, "staged-chunk-bad")
					.with("version", fetch.version())
					.write();
			}
			return intact;
		});
	}

	private void writeAgain(VersionFetch fetch, int index) {
		write(fetch.version(), index, fetch.chunks().chunk(index)).thenAccept((stored) -> {
			if (!stored) {
				fetch.restage(index);
			}
		});
	}

	private void order(VersionFetch fetch, Verification verification, LoadOrderConnection connection,
			Optional<EngineState> current) {
		Optional<Order> order = current
			.flatMap((state) -> this.reservation.beginOrder(verification, state.startedMs(), state.acceptedOrders()));
		if (order.isEmpty()) {
			this.reservation.endVerification(verification);
			connection.close();
			this.log.line(DecisionLog.Importance.STATE, "load-order-withheld").with("version", fetch.version()).write();
			return;
		}
		this.lastOrderNanos = now();
		this.lastOrdered = fetch;
		this.lastOrderSettled = false;
		connection.orderLoad(this.model, fetch.version(), order.get().acceptedOrders())
			.thenAccept((response) -> handleResponse(fetch, order.get(), current.get(), response));
	}

	private void handleResponse(VersionFetch fetch, Order order, EngineState state,
			EngineClient.OrderResponse response) {
		this.reservation.recordOrderEnd(order, response.outcome(), now());
		if (response.outcome() == OrderOutcome.ACCEPTED) {
			this.acceptedListener.accept(state);
		}
		this.responsesByStatus.labelValues((response.status() > 0) ? String.valueOf(response.status()) : "none").inc();
		this.log.line(DecisionLog.Importance.STATE, "load-ordered")
			.with("version", fetch.version())
			.with("status", response.status())
			.with("running", state.runningRequests())
			.with("waiting", state.queuedRequests())
			.write();
	}

}
