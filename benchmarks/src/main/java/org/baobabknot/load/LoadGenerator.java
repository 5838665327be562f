package org.baobabknot.load;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Sends requests at a rate or from a number of callers and collects samples.
 */
public final class LoadGenerator {

	// A connection refused or found closed before anything was sent is tried elsewhere,
	// as a balancer does; the request has not left the caller.
	private static final int CONNECT_ATTEMPTS = 3;

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
		this((request) -> caller.send(chooser.next(), request), report);
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
	 * Ends the loops; requests under way are still waited for.
	 */
	public void stop() {
		this.stopped = true;
	}

	/**
	 * Sends requests at a mean rate with exponential intervals, whether or not earlier
	 * ones have been answered, and waits for all answers.
	 * @param perSecond the mean rate
	 * @param millis duration in milliseconds
	 * @param random source of the intervals
	 * @param source supplies the requests
	 */
	public void openLoop(double perSecond, long millis, RandomGenerator random, Supplier<LoadRequest> source) {
		Phaser open = new Phaser(1);
		long start = System.nanoTime();
		long intended = start;
		while (!this.stopped && intended - start < TimeUnit.MILLISECONDS.toNanos(millis)) {
			long wait = intended - System.nanoTime();
			if (wait > 0) {
				LockSupport.parkNanos(wait);
				continue;
			}
			open.register();
			send(source.get(), intended).thenRun(open::arriveAndDeregister);
			intended += (long) (random.nextExponential() / perSecond * TimeUnit.SECONDS.toNanos(1));
		}
		open.arriveAndAwaitAdvance();
	}

	/**
	 * Runs callers that each send the next request when the last one has ended, and waits
	 * for all answers.
	 * @param callers number of callers
	 * @param millis duration in milliseconds
	 * @param source supplies the requests
	 */
	public void closedLoop(int callers, long millis, Supplier<LoadRequest> source) {
		Phaser open = new Phaser(1);
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		for (int i = 0; i < callers; i++) {
			open.register();
			repeat(end, source, open);
		}
		open.arriveAndAwaitAdvance();
	}

	private void repeat(long end, Supplier<LoadRequest> source, Phaser open) {
		send(source.get(), System.nanoTime()).thenRun(() -> {
			if (this.stopped || System.nanoTime() - end >= 0) {
				open.arriveAndDeregister();
			}
			else {
				repeat(end, source, open);
			}
		});
	}

	/**
	 * Sends one request and adds its sample to the report.
	 * @param request the request
	 * @param intendedNanos monotonic time from which its latency counts
	 * @return the answer
	 */
	public CompletableFuture<Answer> send(LoadRequest request, long intendedNanos) {
		return attempt(request, 1).thenApply((answer) -> {
			this.report.add(Sample.of(request, answer, intendedNanos));
			return answer;
		});
	}

	private CompletableFuture<Answer> attempt(LoadRequest request, int number) {
		return this.sender.send(request).thenCompose((answer) -> {
			if (!answer.connected() && number < CONNECT_ATTEMPTS) {
				return attempt(request, number + 1);
			}
			return CompletableFuture.completedFuture(answer);
		});
	}

}
