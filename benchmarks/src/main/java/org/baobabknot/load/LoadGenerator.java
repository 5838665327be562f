package org.baobabknot.load;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Sends requests at a mean rate (open loop) or from a fixed number of callers (closed
 * loop) and reports a sample for each.
 */
public final class LoadGenerator {

	// A load balancer tries another entry when a connection is refused or found closed
	// before anything was sent. The retry is safe because the request has not left the
	// caller.
	private static final int MAX_CONNECT_ATTEMPTS = 3;

	private final RequestSender sender;

	private final LoadReport report;

	private volatile boolean stopped;

	/**
	 * Creates a generator that sends HTTP requests.
	 * @param caller sends the requests
	 * @param chooser chooses the entry of each request
	 * @param report collects the samples
	 */
	public LoadGenerator(HttpCaller caller, EntryChooser chooser, LoadReport report) {
		this((request) -> caller.send(chooser.nextEntry(), request), report);
	}

	/**
	 * Creates a generator.
	 * @param sender sends the requests
	 * @param report collects the samples
	 */
	public LoadGenerator(RequestSender sender, LoadReport report) {
		this.sender = sender;
		this.report = report;
	}

	/**
	 * Stops sending; the loops still wait for the requests in flight.
	 */
	public void stop() {
		this.stopped = true;
	}

	/**
	 * Sends requests at a mean rate with exponential intervals, whether or not earlier
	 * ones have completed, and waits for all responses.
	 * @param requestsPerSecond the mean rate
	 * @param durationMillis duration in milliseconds
	 * @param random source of the intervals
	 * @param source supplies the requests
	 */
	public void openLoop(double requestsPerSecond, long durationMillis, RandomGenerator random,
			Supplier<LoadRequest> source) {
		Phaser inFlight = new Phaser(1);
		long startNanos = System.nanoTime();
		long intendedNanos = startNanos;
		while (!this.stopped && intendedNanos - startNanos < TimeUnit.MILLISECONDS.toNanos(durationMillis)) {
			long waitNanos = intendedNanos - System.nanoTime();
			if (waitNanos > 0) {
				LockSupport.parkNanos(waitNanos);
				continue;
			}
			inFlight.register();
			send(source.get(), intendedNanos).thenRun(inFlight::arriveAndDeregister);
			intendedNanos += (long) (random.nextExponential() / requestsPerSecond * TimeUnit.SECONDS.toNanos(1));
		}
		inFlight.arriveAndAwaitAdvance();
	}

	/**
	 * Runs callers that each send the next request when the previous one has completed,
	 * and waits for all responses.
	 * @param callers number of callers
	 * @param durationMillis duration in milliseconds
	 * @param source supplies the requests
	 */
	public void closedLoop(int callers, long durationMillis, Supplier<LoadRequest> source) {
		Phaser inFlight = new Phaser(1);
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMillis);
		for (int i = 0; i < callers; i++) {
			inFlight.register();
			sendUntilEnd(endNanos, source, inFlight);
		}
		inFlight.arriveAndAwaitAdvance();
	}

	private void sendUntilEnd(long endNanos, Supplier<LoadRequest> source, Phaser inFlight) {
		send(source.get(), System.nanoTime()).thenRun(() -> {
			if (this.stopped || System.nanoTime() - endNanos >= 0) {
				inFlight.arriveAndDeregister();
			}
			else {
				sendUntilEnd(endNanos, source, inFlight);
			}
		});
	}

	/**
	 * Sends one request and adds its sample to the report.
	 * @param request the request
	 * @param intendedNanos monotonic time from which its latency counts
	 * @return the response
	 */
	public CompletableFuture<LoadResponse> send(LoadRequest request, long intendedNanos) {
		return attempt(request, 1).thenApply((response) -> {
			this.report.add(Sample.of(request, response, intendedNanos));
			return response;
		});
	}

	private CompletableFuture<LoadResponse> attempt(LoadRequest request, int attemptNumber) {
		return this.sender.send(request).thenCompose((response) -> {
			if (!response.connected() && attemptNumber < MAX_CONNECT_ATTEMPTS) {
				return attempt(request, attemptNumber + 1);
			}
			return CompletableFuture.completedFuture(response);
		});
	}

}
