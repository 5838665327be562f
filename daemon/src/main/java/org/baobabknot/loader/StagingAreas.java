package org.baobabknot.loader;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import io.netty.util.concurrent.Ticker;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.baobabknot.observe.DecisionLog;
import org.baobabknot.provider.EngineClient;
import org.baobabknot.provider.EngineClient.EngineState;

/**
 * The staging areas of an engine, one for each model. Confined to one event loop.
 */
final class StagingAreas {

	private final EngineClient engine;

	private final DecisionLog log;

	private final Counter responsesByStatus;

	private final Consumer<EngineState> acceptedListener;

	private final Ticker ticker;

	private final Map<String, StagingArea> areas = new HashMap<>();

	/**
	 * Creates the areas of an engine.
	 * @param engine the engine
	 * @param log receives an event for each order
	 * @param registry metrics registry of the process
	 * @param acceptedListener called with the engine's state before the order, for each
	 * order that the engine accepted
	 * @param ticker the clock
	 */
	StagingAreas(EngineClient engine, DecisionLog log, PrometheusRegistry registry,
			Consumer<EngineState> acceptedListener, Ticker ticker) {
		this.engine = engine;
		this.log = log;
		this.acceptedListener = acceptedListener;
		this.ticker = ticker;
		this.responsesByStatus = Counter.builder()
			.name("baobabknot_load_orders")
			.help("orders to load weights by the status of their answers")
			.labelNames("status")
			.register(registry);
	}

	/**
	 * Returns the area of a model.
	 * @param model the model
	 * @return the area
	 */
	StagingArea of(String model) {
		return this.areas.computeIfAbsent(model, (absent) -> new StagingArea(model, this.engine, this.log,
				this.responsesByStatus, this.acceptedListener, this.ticker));
	}

	/**
	 * Takes a state of the engine into account.
	 * @param state the state
	 * @param sentNanos monotonic time at which it was asked for
	 */
	void recordState(EngineState state, long sentNanos) {
		this.areas.values().forEach((area) -> area.recordState(state, sentNanos));
	}

	/**
	 * Records that no engine runs.
	 */
	void recordEngineEnded() {
		this.areas.values().forEach(StagingArea::recordEngineEnded);
	}

	/**
	 * Clears the last orders, because the engine has restarted.
	 */
	void clearLastOrders() {
		this.areas.values().forEach(StagingArea::clearLastOrder);
	}

}
