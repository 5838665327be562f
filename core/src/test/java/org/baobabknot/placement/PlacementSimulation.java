package org.baobabknot.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.baobabknot.fleet.TargetRecord;

/**
 * Discrete-event simulation of processes that place requests on engines whose load they
 * know only from reports. An engine runs a limited number of requests at once, in order
 * of arrival; a request takes longer the more others run.
 */
final class PlacementSimulation {

	private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);

	private static final int SLOTS = 16;

	private static final double IDLE_FIRST_BYTE_MS = 75;

	/**
	 * Time to the first byte of a request that starts without queueing on a busy engine.
	 */
	private static final double BUSY_FIRST_BYTE_MS = 130;

	private static final double OCCUPANCY_MS = 1_410;

	private static final double OBJECTIVE_MS = 400;

	private static final long REPORT_INTERVAL_NANOS = 150 * MS;

	private static final long LATENCY_NANOS = 2 * MS;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final List<Engine> engines = new ArrayList<>();

	private final List<Process> processes = new ArrayList<>();

	private final SplittableRandom random;

	private long nowNanos;

	private long nextSequence;

	private int requests;

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
	 * Simulates a load.
	 * @param load request rate relative to the capacity of the engines
	 * @param seconds simulated time in which requests arrive, in seconds
	 * @return this simulation
	 */
	PlacementSimulation run(double load, int seconds) {
		double perSecond = load * this.engines.size() * SLOTS * 1_000 / OCCUPANCY_MS;
		this.engines.forEach((engine) -> schedule(this.random.nextLong(REPORT_INTERVAL_NANOS), engine::report));
		scheduleArrivals(perSecond, seconds * TimeUnit.SECONDS.toNanos(1));
		while (!this.events.isEmpty() && this.nowNanos < (seconds + 5) * TimeUnit.SECONDS.toNanos(1)) {
			Event next = this.events.poll();
			this.nowNanos = next.atNanos();
			next.action().run();
		}
		return this;
	}

	double inTimeRatio() {
		return this.inTime / (double) this.requests;
	}

	/**
	 * Returns the mean value of a request for its caller: 1 for a response in time, 0.25
	 * for a late one, 0 for a refusal.
	 * @return mean value, 0 to 1
	 */
	double meanValue() {
		return (this.inTime + 0.25 * this.late) / this.requests;
	}

	@Override
	public String toString() {
		return "requests " + this.requests + " in time " + this.inTime + " late " + this.late + " refused "
				+ this.refused;
	}

	// A load balancer that assigns callers by hash sends several times as many requests
	// to some processes as to others.
	private Process chooseProcessUnevenly() {
		double draw = this.random.nextDouble();
		return this.processes.get((int) (draw * draw * this.processes.size()));
	}

	private void scheduleArrivals(double perSecond, long untilNanos) {
		long gapNanos = (long) (-Math.log(1 - this.random.nextDouble()) / perSecond * TimeUnit.SECONDS.toNanos(1));
		schedule(gapNanos, () -> {
			if (this.nowNanos < untilNanos) {
				this.requests++;
				chooseProcessUnevenly().placeRequest();
				scheduleArrivals(perSecond, untilNanos);
			}
		});
	}

	private void schedule(long delayNanos, Runnable action) {
		this.events.add(new Event(this.nowNanos + delayNanos, this.nextSequence++, action));
	}

	private record Event(long atNanos, long sequence, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.atNanos, other.atNanos);
			return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
		}

	}

	/** One process with its estimates of the load of each engine. */
	private final class Process {

		private final List<TargetLoad> loads = new ArrayList<>();

		private final ArrivalRate rate = new ArrivalRate();

		private final Placement placement = new Placement(PlacementSettings.defaults(),
				PlacementSimulation.this.random.split());

		Process() {
			PlacementSimulation.this.engines.forEach((engine) -> this.loads.add(new TargetLoad()));
		}

		private double requestsPerSecond(long nowNanos) {
			this.rate.count(nowNanos);
			return this.rate.perSecond(nowNanos) * PlacementSimulation.this.processes.size();
		}

		void placeRequest() {
			List<Candidate> candidates = new ArrayList<>();
			for (Engine engine : PlacementSimulation.this.engines) {
				candidates.add(new Candidate(engine.record, this.loads.get(engine.index), false, true, true));
			}
			long sentNanos = PlacementSimulation.this.nowNanos;
			PlacementResult result = this.placement.choose(candidates, new RequestEstimate(IDLE_FIRST_BYTE_MS,
					OCCUPANCY_MS, OBJECTIVE_MS, 6_000, requestsPerSecond(sentNanos)), 0, 1, sentNanos);
			if (!(result instanceof PlacementResult.TargetChosen chosen)) {
				PlacementSimulation.this.refused++;
				return;
			}
			TargetLoad load = chosen.candidate().load();
			Object request = new Object();
			load.recordSent(sentNanos);
			load.expectFirstByte(request, chosen.predictedMs(), sentNanos);
			Engine engine = PlacementSimulation.this.engines.get(Integer.parseInt(chosen.candidate().target().id()));
			schedule(LATENCY_NANOS, () -> engine
				.enqueue(() -> firstByteReceived(load, request, chosen.predictedMs(), sentNanos), load::ended));
		}

		private void firstByteReceived(TargetLoad load, Object request, double predictedMs, long sentNanos) {
			double tookMs = (PlacementSimulation.this.nowNanos - sentNanos) / (double) MS;
			load.recordFirstByte(request, PlacementSimulation.this.nowNanos);
			load.recordSlowness(tookMs / Math.max(1, predictedMs), PlacementSimulation.this.nowNanos);
			load.recordSuccess(PlacementSimulation.this.nowNanos);
			if (tookMs <= OBJECTIVE_MS) {
				PlacementSimulation.this.inTime++;
			}
			else {
				PlacementSimulation.this.late++;
			}
		}

	}

	/** An engine that reports its load to all processes. */
	private final class Engine {

		private final int index;

		private final TargetRecord record;

		private final ArrayDeque<Runnable> queued = new ArrayDeque<>();

		private int running;

		private int reportedRequests = -10;

		private long reportedNanos;

		Engine(int index) {
			this.index = index;
			this.record = new TargetRecord(Integer.toString(index), "s", "127.0.0.1", 1, "d", SLOTS, false, 0, 0,
					List.of());
		}

		void enqueue(Runnable first, Runnable end) {
			Runnable start = () -> {
				this.running++;
				double spread = 0.4 + 1.2 * PlacementSimulation.this.random.nextDouble();
				double busy = this.running / (double) SLOTS;
				schedule((long) ((IDLE_FIRST_BYTE_MS + (BUSY_FIRST_BYTE_MS - IDLE_FIRST_BYTE_MS) * busy) * MS), first);
				schedule((long) (OCCUPANCY_MS * spread * (0.7 + 0.3 * busy) * MS), () -> {
					this.running--;
					end.run();
					Runnable next = this.queued.poll();
					if (next != null) {
						next.run();
					}
				});
			};
			if (this.running < SLOTS) {
				start.run();
			}
			else {
				this.queued.add(start);
			}
		}

		void report() {
			int requests = this.running + this.queued.size();
			long nowNanos = PlacementSimulation.this.nowNanos;
			if (Math.abs(requests - this.reportedRequests) >= 2 || nowNanos - this.reportedNanos > 800 * MS) {
				this.reportedRequests = requests;
				this.reportedNanos = nowNanos;
				schedule(LATENCY_NANOS,
						() -> PlacementSimulation.this.processes.forEach((process) -> process.loads.get(this.index)
							.loaderReportedRequests(requests, true, 0, 0, PlacementSimulation.this.nowNanos)));
			}
			schedule(REPORT_INTERVAL_NANOS, this::report);
		}

	}

}
