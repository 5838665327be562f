package org.baobabknot.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.baobabknot.fleet.TargetRecord;

/**
 * Processes that place requests on engines which they see only through reports, on
 * simulated time. An engine runs so many requests at once, in the order of their arrival;
 * a request takes longer the more run beside it.
 */
final class PlacementSimulation {

	private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);

	private static final int SLOTS = 16;

	private static final double FIRST_MS = 75;

	/** Time to the first event of a request that starts at once on a busy engine. */
	private static final double BUSY_FIRST_MS = 130;

	private static final double OCCUPANCY_MS = 1_410;

	private static final double OBJECTIVE_MS = 400;

	private static final long REPORT_NANOS = 150 * MS;

	private static final long LATENCY_NANOS = 2 * MS;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final List<Engine> engines = new ArrayList<>();

	private final List<Process> processes = new ArrayList<>();

	private final SplittableRandom random;

	private long now;

	private long order;

	private int asked;

	private int inTime;

	private int late;

	private int refused;

	PlacementSimulation(int processes, int engines, long seed) {
		this.random = new SplittableRandom(seed);
		for (int index = 0; index < engines; index++) {
			this.engines.add(new Engine(index));
		}
		for (int index = 0; index < processes; index++) {
			this.processes.add(new Process());
		}
	}

	/**
	 * Plays a load.
	 * @param load requests as a part of what the engines can run
	 * @param seconds time to play
	 * @return this simulation
	 */
	PlacementSimulation run(double load, int seconds) {
		double perSecond = load * this.engines.size() * SLOTS * 1_000 / OCCUPANCY_MS;
		this.engines.forEach((engine) -> at(this.random.nextLong(REPORT_NANOS), engine::report));
		arrive(perSecond, seconds * TimeUnit.SECONDS.toNanos(1));
		while (!this.events.isEmpty() && this.now < (seconds + 5) * TimeUnit.SECONDS.toNanos(1)) {
			Event next = this.events.poll();
			this.now = next.atNanos();
			next.action().run();
		}
		return this;
	}

	double inTimeShare() {
		return this.inTime / (double) this.asked;
	}

	/**
	 * Returns what callers get: an answer that is late is worth a quarter of one in time.
	 * @return mean worth of a request
	 */
	double worth() {
		return (this.inTime + 0.25 * this.late) / this.asked;
	}

	@Override
	public String toString() {
		return "asked " + this.asked + " in time " + this.inTime + " late " + this.late + " refused " + this.refused;
	}

	// A balancer that deals callers by a hash gives some processes several times as many
	// as others.
	private Process uneven() {
		double draw = this.random.nextDouble();
		return this.processes.get((int) (draw * draw * this.processes.size()));
	}

	private void arrive(double perSecond, long untilNanos) {
		long gap = (long) (-Math.log(1 - this.random.nextDouble()) / perSecond * TimeUnit.SECONDS.toNanos(1));
		at(gap, () -> {
			if (this.now < untilNanos) {
				this.asked++;
				uneven().place();
				arrive(perSecond, untilNanos);
			}
		});
	}

	private void at(long delayNanos, Runnable action) {
		this.events.add(new Event(this.now + delayNanos, this.order++, action));
	}

	private record Event(long atNanos, long order, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.atNanos, other.atNanos);
			return (byTime != 0) ? byTime : Long.compare(this.order, other.order);
		}

	}

	/** One process with what it knows of each engine. */
	private final class Process {

		private final List<TargetLoad> loads = new ArrayList<>();

		private final ArrivalRate rate = new ArrivalRate();

		private final Placement placement = new Placement(PlacementSettings.standard(),
				PlacementSimulation.this.random.split());

		Process() {
			PlacementSimulation.this.engines.forEach((engine) -> this.loads.add(new TargetLoad()));
		}

		private double requestsPerSecond(long at) {
			this.rate.count(at);
			return this.rate.perSecond(at) * PlacementSimulation.this.processes.size();
		}

		void place() {
			List<Candidate> candidates = new ArrayList<>();
			for (Engine engine : PlacementSimulation.this.engines) {
				candidates.add(new Candidate(engine.record, this.loads.get(engine.index), false, true, true));
			}
			long sent = PlacementSimulation.this.now;
			PlacementResult result = this.placement.choose(candidates,
					new Work(FIRST_MS, OCCUPANCY_MS, OBJECTIVE_MS, 6_000, requestsPerSecond(sent)), 0, 1, sent);
			if (!(result instanceof PlacementResult.Chosen chosen)) {
				PlacementSimulation.this.refused++;
				return;
			}
			TargetLoad load = chosen.candidate().load();
			Object request = new Object();
			load.sent(sent);
			load.expects(request, chosen.predictedMs(), sent);
			Engine engine = PlacementSimulation.this.engines.get(Integer.parseInt(chosen.candidate().target().id()));
			at(LATENCY_NANOS,
					() -> engine.arrived(() -> answered(load, request, chosen.predictedMs(), sent), load::ended));
		}

		private void answered(TargetLoad load, Object request, double predictedMs, long sent) {
			double tookMs = (PlacementSimulation.this.now - sent) / (double) MS;
			load.answered(request, PlacementSimulation.this.now);
			load.answeredIn(tookMs / Math.max(1, predictedMs), PlacementSimulation.this.now);
			load.succeeded(PlacementSimulation.this.now);
			if (tookMs <= OBJECTIVE_MS) {
				PlacementSimulation.this.inTime++;
			}
			else {
				PlacementSimulation.this.late++;
			}
		}

	}

	/** One engine. */
	private final class Engine {

		private final int index;

		private final TargetRecord record;

		private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();

		private int running;

		private int told = -10;

		private long toldNanos;

		Engine(int index) {
			this.index = index;
			this.record = new TargetRecord(Integer.toString(index), "s", "127.0.0.1", 1, "d", SLOTS, false, 0, 0,
					List.of());
		}

		void arrived(Runnable first, Runnable end) {
			Runnable start = () -> {
				this.running++;
				double spread = 0.4 + 1.2 * PlacementSimulation.this.random.nextDouble();
				double busy = this.running / (double) SLOTS;
				at((long) ((FIRST_MS + (BUSY_FIRST_MS - FIRST_MS) * busy) * MS), first);
				at((long) (OCCUPANCY_MS * spread * (0.7 + 0.3 * busy) * MS), () -> {
					this.running--;
					end.run();
					Runnable next = this.waiting.poll();
					if (next != null) {
						next.run();
					}
				});
			};
			if (this.running < SLOTS) {
				start.run();
			}
			else {
				this.waiting.add(start);
			}
		}

		void report() {
			int requests = this.running + this.waiting.size();
			long at = PlacementSimulation.this.now;
			if (Math.abs(requests - this.told) >= 2 || at - this.toldNanos > 800 * MS) {
				this.told = requests;
				this.toldNanos = at;
				at(LATENCY_NANOS,
						() -> PlacementSimulation.this.processes.forEach((process) -> process.loads.get(this.index)
							.observed(requests, true, 0, 0, PlacementSimulation.this.now)));
			}
			at(REPORT_NANOS, this::report);
		}

	}

}
