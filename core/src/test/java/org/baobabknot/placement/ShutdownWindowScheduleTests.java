package org.baobabknot.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.baobabknot.placement.ShutdownWindow.Open;
import org.baobabknot.placement.ShutdownWindow.Step;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Runs stops on a paused clock in orders drawn from a seed: connections, requests and
 * their ends come at any moment, and the process looks at them late.
 */
class ShutdownWindowScheduleTests {

	private static final int STOPS = 5_000;

	private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);

	private static final long DRAIN_MS = 3_500;

	private static final long END_MS = 7_600;

	private static final long DELIVERY_MS = 100;

	/** Time for an early end after the last admitted request and silent connections. */
	private static final long LEISURE_MS = 2_200;

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4 })
	void noAdmittedRequestIsCutAndNoReadOneIsClosed(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		for (int stop = 0; stop < STOPS; stop++) {
			long start = random.nextLong();
			String load = "seed " + seed + ", stop " + stop;
			new Stop(load, start, random).run();
		}
	}

	/**
	 * A connection with at most one request. Times in ms after the signal.
	 */
	private static final class Connection {

		final long openedMs;

		/** Negative for none. */
		final long requestMs;

		final long deadlineMs;

		final long completedMs;

		boolean accepted;

		boolean closed;

		boolean running;

		boolean refused;

		Connection(SplittableRandom random) {
			this.openedMs = random.nextLong(-2_000, 7_000);
			this.requestMs = (random.nextInt(5) == 0) ? -1 : Math.max(0, this.openedMs + random.nextLong(4_000));
			this.deadlineMs = this.requestMs + random.nextLong(20, 9_000);
			this.completedMs = random.nextLong(this.requestMs, this.deadlineMs + 1);
		}

		boolean open() {
			return this.accepted && !this.closed;
		}

	}

	private static final class Stop {

		private final String load;

		private final long start;

		private final SplittableRandom random;

		private final ShutdownWindow window;

		private final List<Connection> connections = new ArrayList<>();

		private boolean accepting = true;

		private long lastAdmittedEndMs = DRAIN_MS;

		Stop(String load, long start, SplittableRandom random) {
			this.load = load;
			this.start = start;
			this.random = random;
			this.window = new ShutdownWindow(start + DRAIN_MS * MS, start + END_MS * MS);
			for (int index = random.nextInt(12); index > 0; index--) {
				this.connections.add(new Connection(random));
			}
		}

		void run() {
			long nowMs = 0;
			while (true) {
				// The loop looks each 50 ms, or stands still for up to 900 ms.
				nowMs += (this.random.nextInt(40) == 0) ? this.random.nextLong(50, 900) : 50;
				long now = nowMs;
				this.connections.forEach((each) -> read(each, now));
				this.connections.forEach((each) -> closeIdle(each, now));
				Step step = this.window.nextStep(this.start + nowMs * MS, open());
				if (step == Step.STOP_ACCEPTING) {
					this.accepting = false;
				}
				else if (step == Step.END) {
					assertThat(this.load, this.connections.stream().anyMatch(Connection::open), is(false));
					return;
				}
				else if (step == Step.END_OPEN_REQUESTS) {
					assertThat(this.load, nowMs >= END_MS, is(true));
					assertThat(this.load, this.connections.stream().anyMatch((each) -> each.running), is(false));
					return;
				}
				boolean idle = nowMs > this.lastAdmittedEndMs + LEISURE_MS;
				assertThat(this.load + " ends late", idle && !anyOpen(), is(false));
			}
		}

		private boolean anyOpen() {
			return this.connections.stream().anyMatch(Connection::open);
		}

		private void read(Connection each, long nowMs) {
			if (!each.accepted && this.accepting && each.openedMs <= nowMs) {
				each.accepted = true;
			}
			if (!each.open()) {
				return;
			}
			if (each.requestMs >= 0 && each.requestMs <= nowMs && !each.running && !each.refused) {
				boolean admitted = this.window.arrival(opened(each), this.start + each.deadlineMs * MS).admitted();
				if (admitted) {
					assertThat(this.load, each.deadlineMs <= END_MS - DELIVERY_MS, is(true));
					assertThat(this.load, each.openedMs < DRAIN_MS, is(true));
					each.running = true;
				}
				else {
					assertThat(this.load, each.deadlineMs > END_MS - DELIVERY_MS || each.openedMs >= DRAIN_MS,
							is(true));
					each.refused = true;
					each.closed = true;
				}
			}
			if (each.running && each.completedMs <= nowMs) {
				each.running = false;
				each.closed = true;
				this.lastAdmittedEndMs = Math.max(this.lastAdmittedEndMs, nowMs);
			}
		}

		private long opened(Connection each) {
			return this.start + each.openedMs * MS;
		}

		private void closeIdle(Connection each, long nowMs) {
			if (each.open() && !each.running && this.window.closesIdle(opened(each), this.start + nowMs * MS)) {
				assertThat(this.load, nowMs >= DRAIN_MS, is(true));
				assertThat(this.load + " closed with a request", each.requestMs >= 0 && each.requestMs <= nowMs,
						is(false));
				each.closed = true;
			}
		}

		private Open open() {
			boolean admitted = this.connections.stream().anyMatch((each) -> each.open() && each.running);
			Open open = new Open(admitted, this.accepting, anyOpen());
			if (admitted) {
				assertThat(this.load, this.window.nextStep(this.start + DRAIN_MS * MS, open), not(Step.END));
			}
			return open;
		}

	}

}
