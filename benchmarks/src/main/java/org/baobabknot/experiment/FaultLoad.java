package org.baobabknot.experiment;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.baobabknot.load.HttpCaller;
import org.baobabknot.load.LoadOutcome;
import org.baobabknot.load.LoadRequest;
import org.baobabknot.load.LoadResponse;
import org.baobabknot.load.ReadinessBalancer;
import org.baobabknot.load.Workload;
import org.baobabknot.weights.Digests;

/**
 * Simulated callers that continuously send completions, streams and orders. An order with
 * an idempotency key is retried until a response confirms that it ran.
 */
final class FaultLoad implements AutoCloseable {

	private static final String ORDER_PATH = "/orders";

	private static final int TOKENS_PER_REQUEST = 20;

	private static final long DEADLINE_MS = 6_000;

	private static final long PAUSE_MS = 25;

	private static final long RETRY_DELAY_MS = 400;

	private static final int MAX_ATTEMPTS = 6;

	private final ObjectMapper mapper = new ObjectMapper();

	private final HttpCaller caller = new HttpCaller(2, 2 * DEADLINE_MS);

	private final ReadinessBalancer balancer;

	private final Map<InetSocketAddress, String> entryNames = new HashMap<>();

	private final List<Supplier<LoadRequest>> sources;

	private final List<FaultRequest> finished = new ArrayList<>();

	private final List<Refused> refusedConnections = new ArrayList<>();

	private final List<CompletableFuture<Void>> callers = new ArrayList<>();

	private volatile boolean stopped;

	FaultLoad(Fleet fleet, long seed, String run) {
		for (Deployment.Instance instance : fleet.deployment().instances()) {
			if (instance.isEntry()) {
				this.entryNames.put(fleet.callerAddress(instance.name()), instance.name());
			}
		}
		this.balancer = new ReadinessBalancer(this.caller, fleet.callerAddresses(), 200);
		Workload workload = new Workload(run, fleet.deployment().workspaces(), fleet.digests(),
				new SplittableRandom(seed));
		Supplier<LoadRequest> completions = workload.completions(fleet.deployment().modelService().name(),
				TOKENS_PER_REQUEST, 0.3);
		Supplier<LoadRequest> orders = workload.orders(fleet.deployment().orderService().name(), ORDER_PATH, 0.6);
		this.sources = List.of(completions, completions, () -> withDigestCheck(orders.get()));
	}

	// Checks that the response to an order contains the digest of that order's body.
	private LoadRequest withDigestCheck(LoadRequest order) {
		String digest = Digests.of(order.body());
		return new LoadRequest(order.id(), order.kind(), order.method(), order.path(), order.headers(), order.body(),
				(response) -> bodyDigest(response).equals(digest) ? Optional.empty()
						: Optional.of("answer to another order: " + response.text()));
	}

	private String bodyDigest(LoadResponse response) {
		try {
			return this.mapper.readTree(response.body()).path("body_digest").asText();
		}
		catch (IOException ex) {
			return "";
		}
	}

	int readyEntries() {
		return this.balancer.readyEntries();
	}

	void start(int callerCount) {
		for (int index = 0; index < callerCount; index++) {
			this.callers.add(sendRepeatedly(index));
		}
	}

	private CompletableFuture<Void> sendRepeatedly(int requestNumber) {
		if (this.stopped) {
			return CompletableFuture.completedFuture(null);
		}
		LoadRequest request = this.sources.get(requestNumber % this.sources.size())
			.get()
			.withHeader("X-Request-Timeout-Ms", Long.toString(DEADLINE_MS));
		return sendAttempt(request, new ArrayList<>()).thenCompose((done) -> delay(PAUSE_MS))
			.thenCompose((done) -> sendRepeatedly(requestNumber + 1));
	}

	private static CompletableFuture<Void> delay(long millis) {
		return CompletableFuture.runAsync(() -> {
		}, CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS));
	}

	private CompletableFuture<Void> sendAttempt(LoadRequest request, List<FaultRequest.Attempt> earlierAttempts) {
		InetSocketAddress address = this.balancer.nextEntry();
		long sentMillis = System.currentTimeMillis();
		return this.caller.send(address, request).thenCompose((response) -> {
			LoadOutcome outcome = LoadOutcome.of(request, response);
			if (!response.connected()) {
				refusedConnections(new Refused(this.entryNames.getOrDefault(address, ""), sentMillis));
			}
			if (response.connected() || earlierAttempts.size() + 1 >= MAX_ATTEMPTS) {
				earlierAttempts.add(new FaultRequest.Attempt(this.entryNames.getOrDefault(address, ""), sentMillis,
						System.currentTimeMillis(), response.status(), outcome, detail(request, response, outcome)));
			}
			if (shouldRetry(request, response, outcome, earlierAttempts.size())) {
				return delay(RETRY_DELAY_MS).thenCompose((done) -> sendAttempt(request, earlierAttempts));
			}
			if (!earlierAttempts.isEmpty()) {
				recordFinished(new FaultRequest(request, earlierAttempts));
			}
			return CompletableFuture.completedFuture(null);
		});
	}

	private boolean shouldRetry(LoadRequest request, LoadResponse response, LoadOutcome outcome, int attempts) {
		if (attempts >= MAX_ATTEMPTS || outcome == LoadOutcome.WHOLE || outcome == LoadOutcome.WRONG) {
			return false;
		}
		if (!response.connected()) {
			return !this.stopped;
		}
		return request.kind().equals(Workload.KEYED_ORDER);
	}

	private static String detail(LoadRequest request, LoadResponse response, LoadOutcome outcome) {
		return switch (outcome) {
			case WHOLE -> "";
			case WRONG -> request.check().findError(response).orElse("");
			default -> (response.failure() != null) ? response.failure() : response.text();
		};
	}

	private void refusedConnections(Refused connection) {
		synchronized (this.refusedConnections) {
			this.refusedConnections.add(connection);
		}
	}

	List<Refused> refusedConnections() {
		synchronized (this.refusedConnections) {
			return List.copyOf(this.refusedConnections);
		}
	}

	private void recordFinished(FaultRequest request) {
		synchronized (this.finished) {
			this.finished.add(request);
		}
	}

	List<FaultRequest> finished() {
		synchronized (this.finished) {
			return List.copyOf(this.finished);
		}
	}

	/**
	 * Stops the callers once their requests in flight are completed.
	 */
	void stop() {
		this.stopped = true;
		try {
			CompletableFuture.allOf(this.callers.toArray(CompletableFuture[]::new))
				.orTimeout(90, TimeUnit.SECONDS)
				.join();
		}
		catch (CompletionException ex) {
			throw new IllegalStateException("callers did not end", ex);
		}
	}

	@Override
	public void close() {
		this.balancer.close();
		this.caller.close();
	}

	/**
	 * A connection that an entry did not accept.
	 *
	 * @param entry the entry
	 * @param atMillis when the connection was attempted, in milliseconds since the epoch
	 */
	record Refused(String entry, long atMillis) {

	}

}
