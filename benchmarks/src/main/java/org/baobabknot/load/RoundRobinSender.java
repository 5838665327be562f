package org.baobabknot.load;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Baseline for comparison: round robin over all targets with a retry at the next target
 * after any failure. It does not consider load, cold starts or failure domains.
 */
public final class RoundRobinSender implements RequestSender {

	private static final int MAX_ATTEMPTS = 3;

	private final HttpCaller caller;

	private final List<InetSocketAddress> targets;

	private final AtomicInteger nextIndex = new AtomicInteger();

	private final AtomicInteger attempts = new AtomicInteger();

	/**
	 * Creates a sender.
	 * @param caller sends the attempts
	 * @param targets addresses of all targets
	 */
	public RoundRobinSender(HttpCaller caller, List<InetSocketAddress> targets) {
		this.caller = caller;
		this.targets = List.copyOf(targets);
	}

	@Override
	public CompletableFuture<LoadResponse> send(LoadRequest request) {
		return attempt(request, 1);
	}

	private CompletableFuture<LoadResponse> attempt(LoadRequest request, int attemptNumber) {
		this.attempts.incrementAndGet();
		InetSocketAddress target = this.targets
			.get(Math.floorMod(this.nextIndex.getAndIncrement(), this.targets.size()));
		return this.caller.send(target, request).thenCompose((response) -> {
			boolean failed = !response.complete() || response.status() >= 500;
			return (failed && attemptNumber < MAX_ATTEMPTS) ? attempt(request, attemptNumber + 1)
					: CompletableFuture.completedFuture(response);
		});
	}

	/**
	 * Returns the number of requests sent, including retries.
	 * @return attempts so far
	 */
	public int attempts() {
		return this.attempts.get();
	}

}
