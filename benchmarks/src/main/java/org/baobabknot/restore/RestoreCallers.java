package org.baobabknot.restore;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

import org.baobabknot.emulator.EmulatedCaller;

/**
 * One caller at each gateway, which sends a request that all configurations allow and one
 * that only the newest allows, by turns.
 */
final class RestoreCallers implements AutoCloseable {

	private static final int PAUSE_MS = 20;

	private static final int DEADLINE_MS = 1_000;

	private static final int STATUS_OK = 200;

	private final ExecutorService executor;

	private final AtomicLong ids = new AtomicLong();

	private final Queue<Outcome> outcomes = new ConcurrentLinkedQueue<>();

	private volatile String addedPath;

	private volatile boolean running = true;

	/**
	 * Starts the callers.
	 * @param ports ports of the gateways
	 * @param addedPath path that the newest configuration allows
	 */
	RestoreCallers(List<Integer> ports, String addedPath) {
		this.addedPath = addedPath;
		this.executor = Executors.newFixedThreadPool(ports.size());
		for (int gateway = 0; gateway < ports.size(); gateway++) {
			int number = gateway;
			this.executor.execute(() -> run(number, ports.get(number)));
		}
	}

	/**
	 * Sets the path that only the newest configuration allows.
	 * @param path the path
	 */
	void addedPath(String path) {
		this.addedPath = path;
	}

	private void run(int gateway, int port) {
		while (this.running) {
			try (EmulatedCaller connection = new EmulatedCaller(port)) {
				while (this.running) {
					send(connection, gateway, RestoreSite.path());
					send(connection, gateway, this.addedPath);
					TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
				}
			}
			catch (IOException ex) {
				// The gateway has closed the connection; the next request opens another.
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
		}
	}

	private void send(EmulatedCaller connection, int gateway, String path) throws IOException {
		int status = connection
			.sendAndRead("GET", path, "r" + this.ids.incrementAndGet(), EmulatedCaller.deadlineHeader(DEADLINE_MS), "")
			.status();
		this.outcomes.add(new Outcome(gateway, path, System.nanoTime(), status));
	}

	/**
	 * Returns when each gateway first served a path.
	 * @param path the path
	 * @param fromNanos time from which responses count
	 * @return time in ms from then on for each gateway that has served it, in order
	 */
	List<Double> firstServedMs(String path, long fromNanos) {
		Map<Integer, Double> first = new TreeMap<>();
		for (Outcome outcome : this.outcomes) {
			if (outcome.path().equals(path) && outcome.nanos() >= fromNanos && outcome.status() == STATUS_OK) {
				first.putIfAbsent(outcome.gateway(), millis(outcome.nanos() - fromNanos));
			}
		}
		return first.values().stream().sorted().toList();
	}

	private static double millis(long nanos) {
		return nanos / (double) TimeUnit.MILLISECONDS.toNanos(1);
	}

	/**
	 * Counts the responses to the path that all configurations allow.
	 * @param fromNanos time from which responses count
	 * @return number by status
	 */
	Map<Integer, Integer> statuses(long fromNanos) {
		Map<Integer, Integer> counts = new TreeMap<>();
		Predicate<Outcome> counted = (outcome) -> outcome.nanos() >= fromNanos
				&& outcome.path().equals(RestoreSite.path());
		new ArrayList<>(this.outcomes).stream()
			.filter(counted)
			.forEach((outcome) -> counts.merge(outcome.status(), 1, Integer::sum));
		return counts;
	}

	@Override
	public void close() throws InterruptedException {
		this.running = false;
		this.executor.shutdown();
		this.executor.awaitTermination(DEADLINE_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * How a request ended.
	 *
	 * @param gateway number of the gateway
	 * @param path path of the request
	 * @param nanos monotonic time of the end of the response
	 * @param status status of the response
	 */
	private record Outcome(int gateway, String path, long nanos, int status) {
	}

}
