package org.baobabknot.gateway;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import org.baobabknot.fleet.EntryRecord;
import org.baobabknot.fleet.TargetRecord;
import org.baobabknot.observe.DecisionLog;
import org.baobabknot.protocol.generated.PartReport;
import org.baobabknot.quarantine.RequestVerdict;
import org.baobabknot.quarantine.Trial;

/**
 * The guards of several gateways with targets that crash under one request, on a clock
 * and a network that a seed determines. Messages are delayed, lost and reordered, and
 * gateways freeze and start again. Everything runs on one thread.
 */
final class GuardedFleet {

	static final long DEADLY = 0xdeadL;

	static final long SHARED = 0x50dL;

	private static final DecisionLog LOG = new DecisionLog("guarded-fleet", OutputStream.nullOutputStream());

	private static final long DOWN_MS = 3_000;

	/** Time in which a gateway finds out that a target has crashed. */
	private static final int MAX_DETECTION_MS = 4;

	private final SplittableRandom random;

	private final Faults faults;

	private final MockTicker ticker = Ticker.newMockTicker();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));

	private final List<Gateway> gateways = new ArrayList<>();

	private final List<Target> targets = new ArrayList<>();

	private long nowMs;

	private long eventCount;

	private long incarnations;

	private int crashes;

	private int deadlyRuns;

	private int soundServed;

	private int soundRefused;

	private int soundRejected;

	GuardedFleet(long seed, int gatewayCount, int targetCount, Faults faults) {
		this.random = new SplittableRandom(seed);
		this.faults = faults;
		for (int index = 0; index < targetCount; index++) {
			this.targets.add(new Target());
		}
		for (int index = 0; index < gatewayCount; index++) {
			this.gateways.add(new Gateway("entry-" + index));
		}
	}

	int crashes() {
		return this.crashes;
	}

	int deadlyRuns() {
		return this.deadlyRuns;
	}

	int soundServed() {
		return this.soundServed;
	}

	int soundRefused() {
		return this.soundRefused;
	}

	int soundRejected() {
		return this.soundRejected;
	}

	long gatewaysThatHoldItBack() {
		return this.gateways.stream().filter((gateway) -> gateway.verdict() == RequestVerdict.QUARANTINED).count();
	}

	/**
	 * Lets a caller send the deadly request at a gateway.
	 * @param atMs time
	 */
	void sendDeadly(long atMs) {
		at(atMs, () -> anyGateway().receive(new Request(List.of(SHARED, DEADLY), true)));
	}

	/**
	 * Lets a caller send a sound request with the same part at a gateway.
	 * @param atMs time
	 */
	void sendSound(long atMs) {
		at(atMs, () -> anyGateway().receive(new Request(List.of(SHARED, this.random.nextLong()), false)));
	}

	void freeze(long atMs, long forMs) {
		at(atMs, () -> anyGateway().frozenUntilMs = this.nowMs + forMs);
	}

	void restart(long atMs) {
		at(atMs, () -> anyGateway().start());
	}

	private Gateway anyGateway() {
		return this.gateways.get(this.random.nextInt(this.gateways.size()));
	}

	/**
	 * Runs all events until a time.
	 * @param endMs time
	 */
	void run(long endMs) {
		while (this.nowMs < endMs) {
			this.nowMs++;
			this.ticker.advance(1, TimeUnit.MILLISECONDS);
			while (!this.events.isEmpty() && this.events.peek().atMs() <= this.nowMs) {
				this.events.poll().action().run();
			}
			// A process that goes on after a freeze reads its messages before its timers
			// run.
			this.gateways.forEach(Gateway::runTimers);
		}
	}

	private void at(long atMs, Runnable action) {
		this.events.add(new Event(atMs, this.eventCount++, action));
	}

	private void after(long delayMs, Runnable action) {
		at(this.nowMs + delayMs, action);
	}

	/**
	 * What disturbs the messages of the guards.
	 *
	 * @param lossRatio part of the messages that is lost
	 * @param maxDelayMs longest delay of a message
	 */
	record Faults(double lossRatio, int maxDelayMs) {
	}

	private record Event(long atMs, long order, Runnable action) {
	}

	private static final class Request {

		private final List<Long> traits;

		private final boolean deadly;

		private boolean answering;

		private boolean done;

		private int repeats;

		Request(List<Long> traits, boolean deadly) {
			this.traits = traits;
			this.deadly = deadly;
		}

	}

	/** A target, whose next start comes some time after a crash. */
	private final class Target {

		private final List<Runnable> onCrash = new ArrayList<>();

		private String id = "t-" + GuardedFleet.this.incarnations++;

		private boolean down;

		TargetRecord startOf() {
			return new TargetRecord(this.id, "s", "127.0.0.1", 1, "a", 16, false, 0, 1, List.of());
		}

		void crash() {
			GuardedFleet.this.crashes++;
			this.down = true;
			List.copyOf(this.onCrash).forEach(Runnable::run);
			this.onCrash.clear();
			after(DOWN_MS, () -> {
				this.down = false;
				this.id = "t-" + GuardedFleet.this.incarnations++;
			});
		}

	}

	private final class Gateway implements RequestGuard.Requests {

		private final EntryRecord entry;

		private final List<Request> waiting = new ArrayList<>();

		private RequestGuard guard;

		private EmbeddedChannel clock;

		private long life;

		private long frozenUntilMs;

		Gateway(String instance) {
			this.entry = new EntryRecord(instance, "r", instance, 1);
			start();
		}

		void start() {
			this.life++;
			this.frozenUntilMs = 0;
			this.waiting.clear();
			this.clock = EmbeddedChannel.builder().ticker(GuardedFleet.this.ticker).build();
			this.guard = new RequestGuard(this.entry.instance(), this.clock.eventLoop(), LOG, GuardedFleet.this.random,
					new RequestGuard.Peers(
							() -> GuardedFleet.this.gateways.stream()
								.filter((gateway) -> gateway != this)
								.map((gateway) -> gateway.entry)
								.toList(),
							(report, recipients) -> recipients.forEach((recipient) -> deliver(report, recipient))),
					this);
			this.guard.start();
		}

		void runTimers() {
			if (GuardedFleet.this.nowMs >= this.frozenUntilMs) {
				this.clock.runScheduledPendingTasks();
			}
		}

		private void deliver(PartReport report, EntryRecord recipient) {
			GuardedFleet.this.gateways.stream()
				.filter((gateway) -> gateway.entry.equals(recipient))
				.forEach((gateway) -> transmit(
						() -> gateway.guard.handle(report, (reply) -> gateway.deliver(reply, this.entry)), gateway));
		}

		private void transmit(Runnable receive, Gateway recipient) {
			if (GuardedFleet.this.random.nextDouble() >= GuardedFleet.this.faults.lossRatio()) {
				long delayMs = 1 + GuardedFleet.this.random.nextInt(GuardedFleet.this.faults.maxDelayMs());
				recipient.whenAwake(delayMs, receive);
			}
		}

		private void whenAwake(long delayMs, Runnable action) {
			long frozenMs = Math.max(0, this.frozenUntilMs - GuardedFleet.this.nowMs);
			long receiver = this.life;
			GuardedFleet.this.after(Math.max(delayMs, frozenMs), () -> {
				// What waits for a process ends with it.
				if (this.life == receiver) {
					action.run();
				}
			});
		}

		RequestVerdict verdict() {
			return this.guard.verdict(List.of(SHARED, DEADLY));
		}

		@Override
		public boolean isInFlight(Collection<Long> traits) {
			return this.waiting.stream()
				.anyMatch((request) -> !request.answering && traits.stream().anyMatch(request.traits::contains));
		}

		@Override
		public void rejectQuarantined() {
			// The targets of requests in flight crash or respond in any case.
		}

		void receive(Request request) {
			whenAwake(0, () -> admit(request));
		}

		private void admit(Request request) {
			this.guard.admit(request.traits, new RequestGuard.Outcome() {
				@Override
				public void admitted(Optional<Trial> trial) {
					run(request, trial);
				}

				@Override
				public void postponed() {
					refused(request);
				}

				@Override
				public void held() {
					GuardedFleet.this.soundRejected += (request.deadly) ? 0 : 1;
				}
			});
		}

		private void refused(Request request) {
			if (!request.deadly) {
				GuardedFleet.this.soundRefused++;
			}
		}

		private void run(Request request, Optional<Trial> trial) {
			List<Target> up = GuardedFleet.this.targets.stream().filter((target) -> !target.down).toList();
			if (up.isEmpty()) {
				trial.ifPresent(this.guard::release);
				return;
			}
			Target target = up.get(GuardedFleet.this.random.nextInt(up.size()));
			TargetRecord start = target.startOf();
			this.waiting.add(request);
			request.answering = false;
			request.done = false;
			GuardedFleet.this.deadlyRuns += (request.deadly) ? 1 : 0;
			Runnable lost = () -> whenAwake(1 + GuardedFleet.this.random.nextInt(MAX_DETECTION_MS),
					() -> crashed(request, start, trial));
			target.onCrash.add(lost);
			long firstEventMs = 30 + GuardedFleet.this.random.nextInt(150);
			long incarnation = this.life;
			GuardedFleet.this.after(firstEventMs, () -> {
				if (!target.startOf().equals(start) || target.down) {
					return;
				}
				if (request.deadly) {
					target.crash();
					return;
				}
				request.answering = true;
				GuardedFleet.this.after(100 + GuardedFleet.this.random.nextInt(900), () -> {
					if (target.down || !target.startOf().equals(start) || request.done || incarnation != this.life) {
						return;
					}
					request.done = true;
					target.onCrash.remove(lost);
					this.waiting.remove(request);
					GuardedFleet.this.soundServed++;
					this.guard.recordServed(request.traits);
					trial.ifPresent(this.guard::release);
				});
			});
		}

		private void crashed(Request request, TargetRecord start, Optional<Trial> trial) {
			if (request.done || !this.waiting.remove(request)) {
				return;
			}
			this.guard.recordCrash(start, request.traits, request.answering);
			trial.ifPresent(this.guard::release);
			if (request.repeats++ == 0 && this.guard.verdict(request.traits).mayRun()
					&& this.guard.suspectedTraits(List.of(SHARED)).isEmpty()) {
				admit(request);
			}
		}

	}

}
