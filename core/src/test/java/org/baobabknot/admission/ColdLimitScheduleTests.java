package org.baobabknot.admission;

import java.util.ArrayList;
import java.util.List;

import org.baobabknot.schedule.SimulatedEventLoop;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Runs {@link TargetLimiter} under seeded schedules in which the target restarts at
 * random times and its status reports arrive late and out of order. Times are in
 * milliseconds.
 */
class ColdLimitScheduleTests {

	private static final int SCHEDULES = 10_000;

	private static final int COLD_LIMIT = 2;

	private static final int CAPACITY = 8;

	private static final long NANOS_PER_MS = 1_000_000;

	private static final long LAST_RESTART_MS = 1500;

	private static final long END_MS = 3000;

	// Guards against more running requests than the cold limit on a target that has
	// restarted, and against a limit that does not return to the capacity.
	@Test
	void coldTargetsGetNoMoreThanTheColdLimit() {
		int restarts = 0;
		for (long seed = 0; seed < SCHEDULES; seed++) {
			Simulation simulation = new Simulation(seed, COLD_LIMIT);
			simulation.run();
			assertThat("maximum of running requests on a cold target, seed " + seed, simulation.maxRunningWhileCold,
					lessThanOrEqualTo(COLD_LIMIT));
			assertThat("limit at the end, seed " + seed, simulation.limiter.limit(), is(CAPACITY));
			restarts += simulation.restarts;
		}
		assertThat(restarts, greaterThan(SCHEDULES));
	}

	// Guards against schedules that cannot detect a violation: a limiter without a cold
	// limit must fail in them.
	@Test
	void schedulesDetectALimiterWithoutColdLimit() {
		int violations = 0;
		for (long seed = 0; seed < SCHEDULES / 10; seed++) {
			Simulation simulation = new Simulation(seed, CAPACITY);
			simulation.run();
			violations += (simulation.maxRunningWhileCold > COLD_LIMIT) ? 1 : 0;
		}
		assertThat(violations, greaterThan(SCHEDULES / 20));
	}

	private static final class Simulation {

		private final SimulatedEventLoop loop;

		private final TargetLimiter limiter;

		private final boolean targetChecksIncarnation;

		private final List<OpenRequest> openRequests = new ArrayList<>();

		private long incarnation = 1;

		private long connectedIncarnation = 1;

		private long warmAtMs = 200;

		private int runningOnTarget;

		private int maxRunningWhileCold;

		private int restarts;

		private Simulation(long seed, int coldLimit) {
			this.loop = new SimulatedEventLoop(seed);
			this.targetChecksIncarnation = seed % 2 == 0;
			this.limiter = new TargetLimiter(LimiterSettings.withStatusReports(coldLimit, CAPACITY));
		}

		private void run() {
			this.loop.schedule(0, 0, this::pollStatus);
			this.loop.schedule(0, 0, this::startRequests);
			this.loop.schedule(100, 700, this::restart);
			this.loop.runUntil(END_MS);
		}

		private long nowNanos() {
			return this.loop.now() * NANOS_PER_MS;
		}

		private boolean cold() {
			return this.loop.now() < this.warmAtMs;
		}

		// Requests a status report. The report arrives up to 150 ms after the target
		// created it; one in five is lost.
		private void pollStatus() {
			long requestedNanos = nowNanos();
			this.loop.schedule(0, 20, () -> {
				long reportedIncarnation = this.incarnation;
				boolean reportedCold = cold();
				if (!this.loop.randomBoolean(0.2)) {
					this.loop.schedule(1, 150, () -> this.limiter.onStatusReport(reportedIncarnation, reportedCold,
							requestedNanos, nowNanos()));
				}
			});
			this.loop.schedule(50, 50, this::pollStatus);
		}

		private void startRequests() {
			while (this.limiter.tryStart(nowNanos()) instanceof AdmissionDecision.Admitted admitted) {
				OpenRequest request = new OpenRequest(admitted, this.connectedIncarnation);
				this.openRequests.add(request);
				this.loop.schedule(0, 30, () -> arrive(request));
			}
			this.loop.schedule(3, 10, this::startRequests);
		}

		// A request reaches only the target process to which its connection was opened.
		// In every other schedule the target also checks the expected incarnation.
		private void arrive(OpenRequest request) {
			boolean accepted = !this.targetChecksIncarnation || request.admitted.incarnation() == this.incarnation;
			if (request.incarnation != this.incarnation || !accepted) {
				this.loop.schedule(1, 20, () -> {
					if (this.openRequests.remove(request)) {
						this.limiter.finish(RequestObservation.neutral(request.admitted), nowNanos());
					}
				});
				return;
			}
			this.runningOnTarget++;
			if (cold()) {
				this.maxRunningWhileCold = Math.max(this.maxRunningWhileCold, this.runningOnTarget);
			}
			this.loop.schedule(5, 40, () -> complete(request));
		}

		private void complete(OpenRequest request) {
			if (request.incarnation != this.incarnation) {
				return;
			}
			this.runningOnTarget--;
			this.loop.schedule(1, 30, () -> {
				if (this.openRequests.remove(request)) {
					this.limiter.finish(RequestObservation.healthy(request.admitted, 20 * NANOS_PER_MS), nowNanos());
				}
			});
		}

		// The target loses all connections; the agent detects this up to 100 ms later.
		private void restart() {
			this.restarts++;
			this.incarnation++;
			this.runningOnTarget = 0;
			this.warmAtMs = this.loop.now() + this.loop.random().nextLong(50, 400);
			long newIncarnation = this.incarnation;
			this.loop.schedule(1, 100, () -> connectionLost(newIncarnation));
			if (this.loop.now() < LAST_RESTART_MS) {
				this.loop.schedule(20, 700, this::restart);
			}
		}

		private void connectionLost(long newIncarnation) {
			this.connectedIncarnation = Math.max(this.connectedIncarnation, newIncarnation);
			this.limiter.onConnectionLost(nowNanos());
			for (OpenRequest request : List.copyOf(this.openRequests)) {
				if (request.incarnation < newIncarnation && this.openRequests.remove(request)) {
					this.limiter.finish(RequestObservation.neutral(request.admitted), nowNanos());
				}
			}
		}

	}

	private record OpenRequest(AdmissionDecision.Admitted admitted, long incarnation) {

		// Compared by identity, because two requests may have equal fields.
		@Override
		public boolean equals(Object other) {
			return this == other;
		}

		@Override
		public int hashCode() {
			return System.identityHashCode(this);
		}

	}

}
