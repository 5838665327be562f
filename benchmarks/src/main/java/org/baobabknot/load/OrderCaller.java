package org.baobabknot.load;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/**
 * Sends orders and retries them only where that cannot run an order twice: an order
 * refused as not run is always retried, an order with an unknown outcome only with an
 * idempotency key.
 */
public final class OrderCaller {

	private static final int MAX_ATTEMPTS = 12;

	private static final long RETRY_DELAY_MS = 500;

	private static final Executor RETRY_EXECUTOR = CompletableFuture.delayedExecutor(RETRY_DELAY_MS,
			TimeUnit.MILLISECONDS);

	private final LoadGenerator generator;

	private final Map<String, Order> orders = new ConcurrentHashMap<>();

	/**
	 * Creates a caller.
	 * @param generator sends the attempts and reports each of them
	 */
	public OrderCaller(LoadGenerator generator) {
		this.generator = generator;
	}

	/**
	 * Sends an order and retries it as far as that is safe.
	 * @param order the order
	 * @return a future completed at the end of the last attempt
	 */
	public CompletableFuture<Void> send(LoadRequest order) {
		return attempt(order, 1);
	}

	private CompletableFuture<Void> attempt(LoadRequest order, int attemptNumber) {
		return this.generator.send(order, System.nanoTime()).thenCompose((response) -> {
			LoadOutcome outcome = LoadOutcome.of(order, response);
			this.orders.put(order.id(), new Order(order, outcome));
			boolean mayRetry = outcome == LoadOutcome.REFUSED
					|| (outcome != LoadOutcome.WHOLE && order.headers().containsKey("Idempotency-Key"));
			if (!mayRetry || attemptNumber >= MAX_ATTEMPTS) {
				return CompletableFuture.completedFuture(null);
			}
			return CompletableFuture.supplyAsync(() -> null, RETRY_EXECUTOR)
				.thenCompose((nothing) -> attempt(order, attemptNumber + 1));
		});
	}

	/**
	 * Returns the orders with their last outcome.
	 * @return orders by id
	 */
	public Map<String, Order> orders() {
		return Map.copyOf(this.orders);
	}

	/**
	 * An order and its outcome.
	 *
	 * @param request the request
	 * @param outcome outcome of the last attempt
	 */
	public record Order(LoadRequest request, LoadOutcome outcome) {
	}

}
