package org.baobabknot.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.emulator.EmulatedConfiguration;
import org.baobabknot.emulator.EmulatedEngine;
import org.baobabknot.emulator.EngineBehavior.EngineEvent;
import org.baobabknot.emulator.EngineBehavior.EventKind;
import org.baobabknot.settings.FleetSettings;

/**
 * Fixture with several gateways before targets that state limits, and callers.
 */
final class LimitedFleet implements AutoCloseable {

	/** Time after the first statement from which a limit is checked. */
	static final long SETTLING_MS = 3_000;

	private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(4);

	private static final double ALLOWED_RATIO = 1.5;

	private static final int ALLOWED_REQUESTS = 5;

	private static final int PAUSE_MS = 25;

	private static final long SLOW_REFUSAL_MS = 250;

	private static final FleetSettings.Bounds BOUNDS = new FleetSettings.Bounds(2_000, 5_000, 8_000, 8_000, 0.2, 10_000,
			200, 1.5, 5, 1_200);

	final GatewayFleet fleet = new GatewayFleet(100_000_000, BOUNDS, 3);

	final List<EmulatedEngine> engines = new ArrayList<>();

	final AtomicInteger served = new AtomicInteger();

	final AtomicInteger refused = new AtomicInteger();

	final AtomicInteger slowlyRefused = new AtomicInteger();

	private final AtomicInteger ids = new AtomicInteger();

	LimitedFleet(int gateways, int targets) throws Exception {
		this.fleet.configure(new EmulatedConfiguration(1).route("reads", "safe", "plain", 2_000)
			.plainService("plain")
			.workspace("w", "key-1"));
		for (int number = 0; number < targets; number++) {
			EmulatedEngine engine = new EmulatedEngine(this.fleet.targetGroup(), "127.0.0.1", "t" + number, "plain",
					"a", "", 0);
			this.engines.add(engine);
			this.fleet.store.putTarget(engine, "ready");
		}
		this.fleet.start(gateways);
		this.fleet.awaitVersion(1);
		GatewayFixture.await(() -> this.fleet.gateways.stream()
			.allMatch((gateway) -> this.engines.stream()
				.allMatch((engine) -> gateway.view().target(engine.id()).isPresent())
					&& GatewayFleet.onLoop(gateway, () -> gateway.view().entries()).size() == gateways));
	}

	/**
	 * Lets callers send short requests.
	 * @param gateways numbers of the gateways that they use
	 * @param callers number of callers
	 * @param durationMs time in ms
	 */
	void send(List<Integer> gateways, int callers, long durationMs) throws InterruptedException {
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMs);
		ExecutorService executor = Executors.newFixedThreadPool(callers);
		for (int number = 0; number < callers; number++) {
			int port = this.fleet.callerPorts.get(gateways.get(number % gateways.size()));
			executor.execute(() -> sendUntil(port, endNanos));
		}
		executor.shutdown();
		executor.awaitTermination(durationMs + 20_000, TimeUnit.MILLISECONDS);
	}

	private void sendUntil(int port, long endNanos) {
		while (System.nanoTime() < endNanos) {
			try (EmulatedCaller caller = new EmulatedCaller(port)) {
				while (System.nanoTime() < endNanos) {
					long startNanos = System.nanoTime();
					EmulatedCaller.Response response = caller.sendAndRead("GET", "/reads/x",
							"r" + this.ids.incrementAndGet(), EmulatedCaller.deadlineHeader(2_000), "");
					long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
					if (response.status() == 200) {
						this.served.incrementAndGet();
					}
					else {
						this.refused.incrementAndGet();
						this.slowlyRefused.addAndGet((tookMs > SLOW_REFUSAL_MS) ? 1 : 0);
					}
					TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
				}
			}
			catch (IOException ex) {
				// The gateway closed the connection; the next request opens another one.
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
		}
	}

	/**
	 * Returns how many gateways know of a limit that holds.
	 * @return their number
	 */
	long gatewaysThatKnowALimit() {
		return this.fleet.gateways.stream()
			.filter((gateway) -> this.engines.stream()
				.anyMatch((engine) -> gateway.view()
					.target(engine.id())
					.filter((target) -> gateway.pooledTarget(target).limitedTarget().limit().limited())
					.isPresent()))
			.count();
	}

	/**
	 * Returns the times at which requests reached a target.
	 * @param engine the target
	 * @param fromNanos monotonic time
	 * @return the times after that in order
	 */
	static List<Long> arrivals(EmulatedEngine engine, long fromNanos) {
		return engine.events()
			.stream()
			.filter((event) -> event.kind() == EventKind.RECEIVED && event.nanos() >= fromNanos)
			.map(EngineEvent::nanos)
			.toList();
	}

	/**
	 * Returns the most requests that a target got in any 4 s.
	 * @param engine the target
	 * @param fromNanos monotonic time from which it counts
	 * @return number of requests
	 */
	static int mostInWindow(EmulatedEngine engine, long fromNanos) {
		List<Long> times = arrivals(engine, fromNanos);
		int most = 0;
		int first = 0;
		for (int last = 0; last < times.size(); last++) {
			while (times.get(last) - times.get(first) > WINDOW_NANOS) {
				first++;
			}
			most = Math.max(most, last - first + 1);
		}
		return most;
	}

	/**
	 * Returns how many requests a target may get in any 4 s.
	 * @param ratePerSecond limit that it states
	 * @return number of requests
	 */
	static int allowed(double ratePerSecond) {
		return (int) (ALLOWED_RATIO * ratePerSecond * TimeUnit.NANOSECONDS.toSeconds(WINDOW_NANOS)) + ALLOWED_REQUESTS;
	}

	@Override
	public void close() {
		this.engines.forEach(EmulatedEngine::close);
		this.fleet.close();
	}

}
