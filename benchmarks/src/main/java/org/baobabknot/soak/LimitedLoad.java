package org.baobabknot.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.baobabknot.emulator.EmulatedCaller;

/**
 * Callers that send short requests to some of the gateways, each to another one after
 * some time if they move.
 */
final class LimitedLoad implements AutoCloseable {

	private static final int PAUSE_MS = 100;

	private static final int DEADLINE_MS = 4_000;

	private static final int STATUS_OK = 200;

	private static final long MOVE_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final List<Integer> ports;

	private final Spread spread;

	private final ExecutorService executor;

	private final AtomicLong ids = new AtomicLong();

	private final Queue<Outcome> outcomes = new ConcurrentLinkedQueue<>();

	private final long startNanos = System.nanoTime();

	private volatile boolean running = true;

	/**
	 * Starts callers.
	 * @param ports ports of the gateways
	 * @param callers number of callers
	 * @param spread which gateways they use
	 */
	LimitedLoad(List<Integer> ports, int callers, Spread spread) {
		this.ports = List.copyOf(ports);
		this.spread = spread;
		this.executor = Executors.newFixedThreadPool(callers);
		for (int number = 0; number < callers; number++) {
			int caller = number;
			this.executor.execute(() -> run(caller));
		}
	}

	private int gateway(int caller) {
		long moves = (System.nanoTime() - this.startNanos) / MOVE_NANOS;
		return this.spread.gateway(caller, this.ports.size(), moves);
	}

	private void run(int caller) {
		while (this.running) {
			int gateway = gateway(caller);
			try (EmulatedCaller connection = new EmulatedCaller(this.ports.get(gateway))) {
				while (this.running && gateway(caller) == gateway) {
					send(connection, gateway);
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

	private void send(EmulatedCaller connection, int gateway) throws IOException {
		long sentNanos = System.nanoTime();
		EmulatedCaller.Response response = connection.sendAndRead("POST", "/texts/x", "l" + this.ids.incrementAndGet(),
				EmulatedCaller.deadlineHeader(DEADLINE_MS) + "X-Gateway: " + gateway + "\r\n"
						+ EmulatedCaller.modelHeaders("model", 100, 30),
				"body");
		this.outcomes.add(new Outcome(sentNanos, System.nanoTime() - sentNanos, response.status() == STATUS_OK));
	}

	/**
	 * Returns how requests ended that were sent in some time.
	 * @param fromNanos begin
	 * @param toNanos end
	 * @return the outcomes
	 */
	List<Outcome> outcomes(long fromNanos, long toNanos) {
		List<Outcome> sent = new ArrayList<>(this.outcomes);
		sent.removeIf((outcome) -> outcome.sentNanos() < fromNanos || outcome.sentNanos() > toNanos);
		return sent;
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
	 * @param sentNanos monotonic time at which it was sent
	 * @param durationNanos time until the end of the response
	 * @param served whether it was served
	 */
	record Outcome(long sentNanos, long durationNanos, boolean served) {
	}

	/** Which gateways the callers use. */
	enum Spread {

		/** All of them. */
		EVEN {
			@Override
			int gateway(int caller, int gateways, long moves) {
				return caller % gateways;
			}
		},

		/** Two of them. */
		TWO {
			@Override
			int gateway(int caller, int gateways, long moves) {
				return caller % Math.min(2, gateways);
			}
		},

		/** Two of them, others after each second. */
		MOVING {
			@Override
			int gateway(int caller, int gateways, long moves) {
				return (int) ((2 * moves + caller % 2) % gateways);
			}
		};

		/**
		 * Returns the gateway that a caller uses.
		 * @param caller number of the caller
		 * @param gateways number of gateways
		 * @param moves seconds since the start
		 * @return number of the gateway
		 */
		abstract int gateway(int caller, int gateways, long moves);

	}

}
