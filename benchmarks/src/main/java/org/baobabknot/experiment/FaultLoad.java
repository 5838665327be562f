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
 * Callers that send completions, streams and orders all the time, and repeat an order
 * with a key until they know that it ran.
 */
final class FaultLoad implements AutoCloseable {

	private static final String ORDER_PATH = "/orders";

	private static final int TOKENS = 20;

	private static final long DEADLINE_MILLIS = 6_000;

	private static final long PAUSE_MILLIS = 25;

	private static final long REPEAT_MILLIS = 400;

	private static final int MAX_ATTEMPTS = 6;

	private final ObjectMapper mapper = new ObjectMapper();

	private final HttpCaller caller = new HttpCaller(2, 2 * DEADLINE_MILLIS);

	private final ReadinessBalancer balancer;

	private final Map<InetSocketAddress, String> entries = new HashMap<>();

	private final List<Supplier<LoadRequest>> sources;

	private final List<FaultRequest> finished = new ArrayList<>();

	private final List<Refused> refused = new ArrayList<>();

	private final List<CompletableFuture<Void>> callers = new ArrayList<>();

	private volatile boolean stopped;

	FaultLoad(Fleet fleet, long seed, String run) {
		for (Deployment.Instance instance : fleet.deployment().instances()) {
			if (instance.entry()) {
				this.entries.put(fleet.callerAddress(instance.name()), instance.name());
			}
		}
		this.balancer = new ReadinessBalancer(this.caller, fleet.callerAddresses(), 200);
		Workload workload = new Workload(run, fleet.deployment().workspaces(), fleet.digests(),
				new SplittableRandom(seed));
		Supplier<LoadRequest> completions = workload.completions(fleet.deployment().modelService().name(), TOKENS, 0.3);
		Supplier<LoadRequest> orders = workload.orders(fleet.deployment().orderService().name(), ORDER_PATH, 0.6);
		this.sources = List.of(completions, completions, () -> checked(orders.get()));
	}

	// An order's answer names the digest of the body that ran.
	private LoadRequest checked(LoadRequest order) {
		String digest = Digests.of(order.body());
		return new LoadRequest(order.id(), order.kind(), order.method(), order.path(), order.headers(), order.body(),
				(answer) -> bodyDigest(answer).equals(digest) ? Optional.empty()
						: Optional.of("answer to another order: " + answer.text()));
	}

	private String bodyDigest(LoadResponse answer) {
		try {
			return this.mapper.readTree(answer.body()).path("body_digest").asText();
		}
		catch (IOException ex) {
			return "";
		}
	}

	int readyEntries() {
		return this.balancer.readyEntries();
	}

	void start(int number) {
		for (int index = 0; index < number; index++) {
			this.callers.add(loop(index));
		}
	}

	private CompletableFuture<Void> loop(int turn) {
		if (this.stopped) {
			return CompletableFuture.completedFuture(null);
		}
		LoadRequest request = this.sources.get(turn % this.sources.size())
			.get()
			.withHeader("X-Request-Timeout-Ms", Long.toString(DEADLINE_MILLIS));
		return attempt(request, new ArrayList<>()).thenCompose((done) -> later(PAUSE_MILLIS))
			.thenCompose((done) -> loop(turn + 1));
	}

	private static CompletableFuture<Void> later(long millis) {
		return CompletableFuture.runAsync(() -> {
		}, CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS));
	}

	private CompletableFuture<Void> attempt(LoadRequest request, List<FaultRequest.Attempt> before) {
		InetSocketAddress address = this.balancer.nextEntry();
		long sent = System.currentTimeMillis();
		return this.caller.send(address, request).thenCompose((answer) -> {
			LoadOutcome outcome = LoadOutcome.of(request, answer);
			if (!answer.connected()) {
				refused(new Refused(this.entries.getOrDefault(address, ""), sent));
			}
			if (answer.connected() || before.size() + 1 >= MAX_ATTEMPTS) {
				before.add(new FaultRequest.Attempt(this.entries.getOrDefault(address, ""), sent,
						System.currentTimeMillis(), answer.status(), outcome, detail(request, answer, outcome)));
			}
			if (repeats(request, answer, outcome, before.size())) {
				return later(REPEAT_MILLIS).thenCompose((done) -> attempt(request, before));
			}
			if (!before.isEmpty()) {
				finish(new FaultRequest(request, before));
			}
			return CompletableFuture.completedFuture(null);
		});
	}

	private boolean repeats(LoadRequest request, LoadResponse answer, LoadOutcome outcome, int attempts) {
		if (attempts >= MAX_ATTEMPTS || outcome == LoadOutcome.WHOLE || outcome == LoadOutcome.WRONG) {
			return false;
		}
		if (!answer.connected()) {
			return !this.stopped;
		}
		return request.kind().equals(Workload.KEYED_ORDER);
	}

	private static String detail(LoadRequest request, LoadResponse answer, LoadOutcome outcome) {
		return switch (outcome) {
			case WHOLE -> "";
			case WRONG -> request.check().findError(answer).orElse("");
			default -> (answer.failure() != null) ? answer.failure() : answer.text();
		};
	}

	private void refused(Refused connection) {
		synchronized (this.refused) {
			this.refused.add(connection);
		}
	}

	List<Refused> refused() {
		synchronized (this.refused) {
			return List.copyOf(this.refused);
		}
	}

	private void finish(FaultRequest request) {
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
	 * Stops the callers after their open requests.
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
	 * @param atMillis when the connection was tried
	 */
	record Refused(String entry, long atMillis) {

	}

}
