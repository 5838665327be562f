package org.baobabknot.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import org.baobabknot.fleet.EntryRecord;
import org.baobabknot.limit.LimitStatement;
import org.baobabknot.limit.PermitHolder;
import org.baobabknot.limit.StatedLimit;
import org.baobabknot.protocol.generated.PermitMessage;

/**
 * The limits of several gateways with targets that state some, on a clock and a network
 * that a seed determines. Messages are delayed, lost and reordered, gateways freeze,
 * start again, stop and lose the list of entries. Everything runs on one thread.
 */
final class LimitOrders {

	/** Region of all targets. */
	private static final String REGION = "r";

	private static final String OTHER_REGION = "s";

	private static final long LEASE_MS = 9_500;

	private static final long LIST_INTERVAL_MS = 10_000;

	private static final long RESPONSE_MS = 5;

	private static final long WINDOW_MS = 4_000;

	private static final long SETTLING_MS = 3_000;

	private static final long TOLD_MS = 500;

	private static final int MAX_WAIT_MS = 100;

	private final SplittableRandom random;

	private final Faults faults;

	private final MockTicker ticker = Ticker.newMockTicker();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));

	private final List<Gateway> gateways = new ArrayList<>();

	private final List<Target> targets = new ArrayList<>();

	/** Regions of the registered gateways by their names. */
	private final Map<String, String> registered = new TreeMap<>();

	private final int initialGateways;

	private long nowMs;

	private long eventCount;

	private long messages;

	LimitOrders(long seed, int gatewayCount, Faults faults) {
		this(seed, gatewayCount, gatewayCount, faults);
	}

	/**
	 * Creates a fleet.
	 * @param seed determines all random choices
	 * @param gatewayCount number of gateways at the start
	 * @param remoteCount how many of them, the first ones, are of another region than the
	 * targets; all are of the region of the targets if it is the whole number
	 * @param faults what disturbs the messages
	 */
	LimitOrders(long seed, int gatewayCount, int remoteCount, Faults faults) {
		this.random = new SplittableRandom(seed);
		this.faults = faults;
		this.initialGateways = gatewayCount;
		this.ticker.advance(1, TimeUnit.HOURS);
		for (int index = 0; index < gatewayCount; index++) {
			boolean remote = remoteCount < gatewayCount && index < remoteCount;
			this.registered.put("entry-" + index, (remote) ? OTHER_REGION : REGION);
		}
		List.copyOf(this.registered.keySet())
			.forEach((name) -> this.gateways.add(new Gateway(name, this.registered.get(name))));
	}

	/**
	 * Adds a target.
	 * @param ratePerSecond limit that it states, infinite for none
	 * @return the target
	 */
	Target addTarget(double ratePerSecond) {
		Target target = new Target(this.random.nextLong(), ratePerSecond);
		this.targets.add(target);
		return target;
	}

	long messages() {
		return this.messages;
	}

	/**
	 * Lets callers send requests at random times.
	 * @param fromMs time of the first ones
	 * @param toMs time of the last ones
	 * @param perSecond requests per second
	 * @param gatewayCount gateways that they use, the first ones
	 */
	void send(long fromMs, long toMs, double perSecond, int gatewayCount) {
		long count = (long) ((toMs - fromMs) * perSecond / 1_000);
		for (long number = 0; number < count; number++) {
			at(fromMs + this.random.nextLong(toMs - fromMs),
					() -> this.gateways.get(drawGateway(gatewayCount)).receive());
		}
	}

	/**
	 * Lets a target state no limit any more.
	 * @param target the target
	 * @param atMs time
	 */
	void lift(Target target, long atMs) {
		at(atMs, () -> target.ratePerSecond = LimitStatement.UNLIMITED);
	}

	/**
	 * Returns how many gateways still know that a target states a limit.
	 * @param target the target
	 * @return their number
	 */
	long gatewaysThatKnowALimit(Target target) {
		return this.gateways.stream()
			.map((gateway) -> gateway.limitedTargets.get(target.key))
			.filter((limited) -> limited != null && limited.limit().limited())
			.count();
	}

	void freeze(long atMs, long forMs) {
		at(atMs, () -> {
			Gateway gateway = anyGateway();
			gateway.frozenUntilMs = this.nowMs + forMs;
			gateway.disturbedMs = this.nowMs + forMs;
		});
	}

	void restart(long atMs) {
		at(atMs, () -> anyGateway().start());
	}

	/**
	 * Stops a gateway that tells the others, and starts it again.
	 * @param atMs time of the stop
	 * @param downMs time until it starts again
	 */
	void stop(long atMs, long downMs) {
		at(atMs, () -> {
			Gateway gateway = anyGateway();
			gateway.limits.issuerNotices().leave();
			gateway.heldUntilMs = 0;
			this.registered.remove(gateway.entry.instance());
			after(downMs, () -> {
				this.registered.put(gateway.entry.instance(), gateway.entry.region());
				gateway.start();
			});
		});
	}

	/**
	 * Cuts a gateway off from the store: its lease expires, and it reads no list.
	 * @param atMs time of the cut
	 * @param forMs its duration
	 */
	void cutFromStore(long atMs, long forMs) {
		at(atMs, () -> {
			Gateway gateway = anyGateway();
			gateway.cutUntilMs = this.nowMs + forMs;
			after(LEASE_MS + 500, () -> {
				if (this.nowMs < gateway.cutUntilMs) {
					this.registered.remove(gateway.entry.instance());
				}
			});
			after(forMs + 1, () -> this.registered.put(gateway.entry.instance(), gateway.entry.region()));
		});
	}

	/**
	 * Adds a gateway, whose messages reach no other one at first.
	 * @param atMs time of its registration
	 * @param forMs time until its messages arrive
	 */
	void joinUnheard(long atMs, long forMs) {
		at(atMs, () -> join().unheardUntilMs = this.nowMs + forMs);
	}

	private Gateway join() {
		String name = "joined-" + this.gateways.size();
		this.registered.put(name, REGION);
		Gateway gateway = new Gateway(name, REGION);
		gateway.disturbedMs = this.nowMs;
		this.gateways.add(gateway);
		return gateway;
	}

	/**
	 * Takes a gateway of the targets' region away for good and adds another one there.
	 * @param index number of the gateway
	 * @param atMs time of its end
	 * @param notice whether it tells the others that it ends
	 * @param joinMs time at which the other one registers
	 */
	void replace(int index, long atMs, boolean notice, long joinMs) {
		at(atMs, () -> {
			Gateway gateway = this.gateways.get(index);
			if (notice) {
				gateway.limits.issuerNotices().leave();
			}
			gateway.heldUntilMs = 0;
			gateway.life++;
			gateway.frozenUntilMs = Long.MAX_VALUE / 2;
			after((notice) ? 0 : LEASE_MS + 500, () -> this.registered.remove(gateway.entry.instance()));
		});
		at(joinMs, this::join);
	}

	/**
	 * Returns a number of a gateway, joined ones included.
	 * @param count gateways that callers use
	 * @return the number
	 */
	private int drawGateway(int count) {
		int joined = this.gateways.size() - this.initialGateways;
		int number = this.random.nextInt(count + joined);
		return (number < count) ? number : this.initialGateways + number - count;
	}

	private Gateway anyGateway() {
		return this.gateways.get(this.random.nextInt(this.gateways.size()));
	}

	/**
	 * Runs all events until a time.
	 * @param endMs time
	 */
	void run(long endMs) {
		runUntil(() -> false, endMs);
	}

	void runFor(long durationMs) {
		run(this.nowMs + durationMs);
	}

	/**
	 * Runs all events until a condition holds.
	 * @param condition the condition
	 * @param endMs time at the latest
	 */
	void runUntil(BooleanSupplier condition, long endMs) {
		while (this.nowMs < endMs && !condition.getAsBoolean()) {
			this.nowMs++;
			this.ticker.advance(1, TimeUnit.MILLISECONDS);
			while (!this.events.isEmpty() && this.events.peek().atMs() <= this.nowMs) {
				this.events.poll().action().run();
			}
			this.gateways.forEach(Gateway::runTimers);
		}
	}

	private void at(long atMs, Runnable action) {
		this.events.add(new Event(atMs, this.eventCount++, action));
	}

	private void after(long delayMs, Runnable action) {
		at(this.nowMs + delayMs, action);
	}

	private long nanos() {
		return this.ticker.nanoTime();
	}

	/**
	 * What disturbs the messages.
	 *
	 * @param lossRatio part of the messages that is lost
	 * @param maxDelayMs longest delay of a message
	 */
	record Faults(double lossRatio, int maxDelayMs) {
	}

	private record Event(long atMs, long order, Runnable action) {
	}

	private record Arrival(long atMs, long toldMs, long disturbedMs) {
	}

	/** A target that states a limit in each response. */
	final class Target {

		private final long key;

		private double ratePerSecond;

		private long firstStatementMs = -1;

		private final List<Arrival> arrivals = new ArrayList<>();

		Target(long key, double ratePerSecond) {
			this.key = key;
			this.ratePerSecond = ratePerSecond;
		}

		void receive(Gateway gateway, long sentNanos) {
			long toldMs = gateway.toldMs.getOrDefault(this.key, Long.MAX_VALUE);
			this.arrivals.add(new Arrival(LimitOrders.this.nowMs, toldMs, gateway.disturbedMs));
			after(RESPONSE_MS, () -> {
				double rate = this.ratePerSecond;
				if (rate != LimitStatement.UNLIMITED && this.firstStatementMs < 0) {
					this.firstStatementMs = LimitOrders.this.nowMs;
				}
				gateway.whenAwake(1, () -> gateway.responded(this, rate, sentNanos));
			});
		}

		/**
		 * Returns the requests that count, those of gateways that have been told of the
		 * limit and were not disturbed shortly before.
		 * @return most of them in one window
		 */
		int mostInWindow() {
			List<Long> times = this.arrivals.stream()
				.filter((arrival) -> arrival.atMs() > this.firstStatementMs + SETTLING_MS
						&& arrival.toldMs() < arrival.atMs() - TOLD_MS
						&& arrival.disturbedMs() < arrival.atMs() - SETTLING_MS)
				.map(Arrival::atMs)
				.toList();
			int most = 0;
			int first = 0;
			for (int last = 0; last < times.size(); last++) {
				while (times.get(last) - times.get(first) > WINDOW_MS) {
					first++;
				}
				most = Math.max(most, last - first + 1);
			}
			return most;
		}

		boolean isExceeded() {
			return mostInWindow() > LimitedFleet.allowed(this.ratePerSecond);
		}

		long received(long fromMs) {
			return this.arrivals.stream().filter((arrival) -> arrival.atMs() >= fromMs).count();
		}

	}

	private final class Gateway {

		private final EntryRecord entry;

		private final Map<Long, LimitedTarget> limitedTargets = new HashMap<>();

		private final Map<Long, Long> toldMs = new HashMap<>();

		private SharedLimits limits;

		private EmbeddedChannel clock;

		private long life;

		private long frozenUntilMs;

		private long disturbedMs = Long.MIN_VALUE / 2;

		private long cutUntilMs;

		private long unheardUntilMs;

		private long heldUntilMs;

		private long listReadMs;

		private List<EntryRecord> list = List.of();

		Gateway(String instance, String region) {
			this.entry = new EntryRecord(instance, region, instance, 1);
			start();
			this.disturbedMs = Long.MIN_VALUE / 2;
		}

		void start() {
			this.life++;
			this.frozenUntilMs = 0;
			this.disturbedMs = LimitOrders.this.nowMs;
			this.limitedTargets.clear();
			this.toldMs.clear();
			this.clock = EmbeddedChannel.builder().ticker(LimitOrders.this.ticker).build();
			this.limits = new SharedLimits(this.entry, this.clock.eventLoop(), LimitOrders.this::nanos,
					LimitOrders.this.random,
					new SharedLimits.Peers(
							() -> this.list.stream().filter((other) -> !other.equals(this.entry)).toList(),
							(message, recipients) -> recipients.forEach((recipient) -> deliver(message, recipient))),
					LimitOrders.this.gateways::size,
					(key) -> Optional.ofNullable(this.limitedTargets.get(key)).map(LimitedTarget::limit), (result) -> {
					});
			this.list = List.of();
			this.listReadMs = LimitOrders.this.nowMs - LIST_INTERVAL_MS;
		}

		void runTimers() {
			if (LimitOrders.this.nowMs < this.frozenUntilMs) {
				return;
			}
			if (LimitOrders.this.nowMs >= this.cutUntilMs
					&& LimitOrders.this.registered.containsKey(this.entry.instance())) {
				this.heldUntilMs = LimitOrders.this.nowMs + LEASE_MS;
				recordRegistration();
				if (LimitOrders.this.nowMs - this.listReadMs >= LIST_INTERVAL_MS) {
					// After the first read, processes read the list at different times.
					this.listReadMs = LimitOrders.this.nowMs
							- ((this.list.isEmpty()) ? LimitOrders.this.random.nextLong(LIST_INTERVAL_MS) : 0);
					this.list = LimitOrders.this.registered.entrySet()
						.stream()
						.map((each) -> new EntryRecord(each.getKey(), each.getValue(), each.getKey(), 1))
						.toList();
					this.limits.ranking().recordList(this.list, nanos());
				}
			}
			recordRegistration();
			this.limits.issuerNotices().announce();
			this.clock.runScheduledPendingTasks();
		}

		private void recordRegistration() {
			this.limits.ranking()
				.recordRegistration(nanos() + TimeUnit.MILLISECONDS.toNanos(this.heldUntilMs - LimitOrders.this.nowMs),
						nanos());
		}

		// A gateway that is not heard still gets what others send.
		private void deliver(PermitMessage message, EntryRecord recipient) {
			LimitOrders.this.messages++;
			if (LimitOrders.this.nowMs < this.unheardUntilMs) {
				return;
			}
			LimitOrders.this.gateways.stream()
				.filter((gateway) -> gateway.entry.equals(recipient))
				.forEach((gateway) -> transmit(
						() -> gateway.limits.handle(message, (reply) -> gateway.deliver(reply, this.entry)), gateway));
		}

		private void transmit(Runnable receive, Gateway recipient) {
			if (LimitOrders.this.random.nextDouble() >= LimitOrders.this.faults.lossRatio()) {
				recipient.whenAwake(1 + LimitOrders.this.random.nextInt(LimitOrders.this.faults.maxDelayMs()), receive);
			}
		}

		void whenAwake(long delayMs, Runnable action) {
			long frozenMs = Math.max(0, this.frozenUntilMs - LimitOrders.this.nowMs);
			long receiver = this.life;
			after(Math.max(delayMs, frozenMs), () -> {
				// What waits for a process ends with it.
				if (this.life == receiver) {
					action.run();
				}
			});
		}

		void receive() {
			whenAwake(0, () -> place(new ArrayList<>(LimitOrders.this.targets)));
		}

		private void place(List<Target> candidates) {
			candidates.removeIf(
					(each) -> target(each).limit().limited() && target(each).permits().waitMs(nanos()) > MAX_WAIT_MS);
			if (candidates.isEmpty()) {
				return;
			}
			Target target = candidates.remove(LimitOrders.this.random.nextInt(candidates.size()));
			this.limits.acquire(target(target), MAX_WAIT_MS, new SharedLimits.Outcome() {
				@Override
				public void granted() {
					long sentNanos = nanos();
					after(1, () -> target.receive(Gateway.this, sentNanos));
				}

				@Override
				public void denied() {
					place(candidates);
				}
			});
		}

		private LimitedTarget target(Target target) {
			return this.limitedTargets.computeIfAbsent(target.key, (key) -> {
				StatedLimit limit = new StatedLimit();
				this.limits.knownStatement(key).ifPresent(limit::merge);
				return new LimitedTarget(key, REGION, limit, new PermitHolder());
			});
		}

		void responded(Target target, double rate, long sentNanos) {
			if (rate != LimitStatement.UNLIMITED) {
				this.toldMs.putIfAbsent(target.key, LimitOrders.this.nowMs);
			}
			LimitedTarget limited = target(target);
			if (limited.limit().merge(new LimitStatement(rate, sentNanos, nanos()))) {
				this.limits.limitChanged(limited);
			}
		}

	}

}
