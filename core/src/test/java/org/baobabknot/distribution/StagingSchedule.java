package org.baobabknot.distribution;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.baobabknot.distribution.StagingReservation.Order;
import org.baobabknot.distribution.StagingReservation.OrderOutcome;
import org.baobabknot.distribution.StagingReservation.Verification;

/**
 * One engine and its loader, which stages the newest version that is announced, on a
 * clock that a seed determines. The engine executes calls late, also when their responses
 * are not awaited any more, and starts again with or without its staged chunks.
 */
final class StagingSchedule {

	private static final int CHUNKS = 4;

	private static final long END_MS = 30_000;

	private static final long TIMEOUT_MS = 1_500;

	/** Longest time until a write is executed. */
	private static final int MAX_WRITE_MS = 3_000;

	/** Longest time until an order is executed. */
	private static final int MAX_ORDER_MS = 8_000;

	private final SplittableRandom random;

	private final StagingReservation reservation = new StagingReservation(0);

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));

	private final long[] staged = new long[CHUNKS];

	/** Chunks that the loader takes for staged, as versions. */
	private final long[] believed = new long[CHUNKS];

	private final List<String> mixedLoads = new ArrayList<>();

	private int loads;

	private long nowMs;

	private long eventCount;

	private long announced = 1;

	private long engineStart = 1;

	private long acceptedOrders;

	private long lastOrderMs = Long.MIN_VALUE / 2;

	StagingSchedule(long seed) {
		this.random = new SplittableRandom(seed);
		Arrays.fill(this.staged, 1);
		Arrays.fill(this.believed, 1);
	}

	List<String> mixedLoads() {
		return this.mixedLoads;
	}

	int loads() {
		return this.loads;
	}

	void run() {
		for (long atMs = 0; atMs < END_MS; atMs += 50) {
			at(atMs, this::poll);
		}
		long atMs = 3_000;
		while (atMs < END_MS) {
			at(atMs, () -> this.announced++);
			atMs += 20 + this.random.nextInt(4_000);
		}
		for (int restart = 0; restart < 3; restart++) {
			at(this.random.nextInt((int) END_MS), this::restartEngine);
		}
		while (!this.events.isEmpty() && this.nowMs < END_MS) {
			Event event = this.events.poll();
			this.nowMs = event.atMs();
			event.action().run();
		}
	}

	private void at(long atMs, Runnable action) {
		this.events.add(new Event(atMs, this.eventCount++, action));
	}

	private void after(long delayMs, Runnable action) {
		at(this.nowMs + delayMs, action);
	}

	private long now() {
		return TimeUnit.MILLISECONDS.toNanos(this.nowMs);
	}

	private int delay(int maxLateMs) {
		return 1 + ((this.random.nextInt(10) == 0) ? this.random.nextInt(maxLateMs) : this.random.nextInt(20));
	}

	private void restartEngine() {
		this.engineStart++;
		this.acceptedOrders = 0;
		if (this.random.nextBoolean()) {
			Arrays.fill(this.staged, 0);
		}
	}

	// Executes a call at the engine to which it was sent, and returns the response. A
	// call ends with its engine.
	private void call(int maxLateMs, Runnable execution, Runnable response, Runnable noResponse) {
		long start = this.engineStart;
		int delayMs = delay(maxLateMs);
		boolean lost = this.random.nextInt(20) == 0;
		after(delayMs, () -> {
			if (this.engineStart == start) {
				execution.run();
			}
		});
		boolean[] responded = { false };
		after(delayMs + 1, () -> {
			if (this.engineStart == start && !lost && delayMs < TIMEOUT_MS) {
				responded[0] = true;
				response.run();
			}
		});
		after(TIMEOUT_MS, () -> {
			if (!responded[0]) {
				noResponse.run();
			}
		});
	}

	private void poll() {
		long sentNanos = now();
		long[] state = { 0, 0 };
		call(20, () -> {
			state[0] = this.engineStart;
			state[1] = this.acceptedOrders;
		}, () -> {
			this.reservation.recordState(state[0], state[1], sentNanos, now());
			step(state[0], state[1]);
		}, () -> {
		});
	}

	private void step(long start, long accepted) {
		long repeated = this.reservation.unansweredOrder().orElse(0L);
		long version = (repeated > 0) ? repeated : this.announced;
		this.reservation.request(this.announced, now());
		for (int index = 0; index < CHUNKS; index++) {
			if (this.believed[index] != version && this.reservation.mayWrite(version)) {
				write(index, version);
			}
		}
		boolean complete = Arrays.stream(this.believed).allMatch((held) -> held == version);
		if (complete && version > 1 && this.nowMs - this.lastOrderMs > 1_000) {
			this.reservation.beginVerification(version, start, accepted)
				.ifPresent((verification) -> read(verification, 0));
		}
	}

	private void write(int index, long version) {
		this.believed[index] = version;
		this.reservation.recordWrite();
		call(MAX_WRITE_MS, () -> this.staged[index] = version, () -> this.reservation.recordWriteEnd(true, now()),
				() -> {
					this.believed[index] = 0;
					this.reservation.recordWriteEnd(false, now());
				});
	}

	private void read(Verification verification, int index) {
		if (index == CHUNKS) {
			confirm(verification);
			return;
		}
		long[] found = { 0 };
		call(20, () -> found[0] = this.staged[index], () -> {
			if (found[0] == verification.version()) {
				read(verification, index + 1);
			}
			else {
				this.believed[index] = 0;
				this.reservation.endVerification(verification);
			}
		}, () -> this.reservation.endVerification(verification));
	}

	private void confirm(Verification verification) {
		long[] state = { 0, 0 };
		call(20, () -> {
			state[0] = this.engineStart;
			state[1] = this.acceptedOrders;
		}, () -> this.reservation.beginOrder(verification, state[0], state[1]).ifPresent(this::send),
				() -> this.reservation.endVerification(verification));
	}

	// The order goes to the engine that was verified, over a connection to it.
	private void send(Order order) {
		this.lastOrderMs = this.nowMs;
		OrderOutcome[] outcome = { OrderOutcome.REJECTED };
		call(MAX_ORDER_MS, () -> outcome[0] = execute(order),
				() -> this.reservation.recordOrderEnd(order, outcome[0], now()),
				() -> this.reservation.recordOrderEnd(order, OrderOutcome.UNANSWERED, now()));
	}

	private OrderOutcome execute(Order order) {
		if (order.acceptedOrders() != this.acceptedOrders || order.startMs() != this.engineStart) {
			return OrderOutcome.REJECTED;
		}
		this.acceptedOrders++;
		this.loads++;
		if (!Arrays.stream(this.staged).allMatch((version) -> version == order.version())) {
			this.mixedLoads.add("version " + order.version() + " with " + Arrays.toString(this.staged));
		}
		return OrderOutcome.ACCEPTED;
	}

	private record Event(long atMs, long number, Runnable action) {
	}

}
