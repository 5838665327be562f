package org.baobabknot.admission;

import java.util.ArrayList;
import java.util.List;

import org.baobabknot.schedule.EventLoop;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Seeded schedules of a target that restarts at random, with reports that arrive late and
 * out of order, against {@link TargetLimiter}. Times are in milliseconds.
 */
class ColdLimitScheduleTests {

	private static final int SCHEDULES = 10_000;

	private static final int COLD_LIMIT = 2;

	private static final int CAPACITY = 8;

	private static final long MILLIS = 1_000_000;

	private static final long FAULTS_END = 1500;

	private static final long END = 3000;

	// Guards against more than the cold limit on a target that has restarted, and against
	// a limiter that does not get back to the full rate.
	@Test
	void coldTargetsGetNoMoreThanTheColdLimit() {
		int restarts = 0;
		for (long seed = 0; seed < SCHEDULES; seed++) {
			Run run = new Run(seed, COLD_LIMIT);
			run.play();
			assertThat("most requests on a cold target, seed " + seed, run.mostWhileCold,
					lessThanOrEqualTo(COLD_LIMIT));
			assertThat("limit at the end, seed " + seed, run.limiter.limit(), is(CAPACITY));
			restarts += run.restarts;
		}
		assertThat(restarts, greaterThan(SCHEDULES));
	}

	// Guards against schedules that cannot detect a violation: without the
	// cold limit they must.
	@Test
	void schedulesDetectALimiterWithoutColdLimit() {
		int violations = 0;
		for (long seed = 0; seed < SCHEDULES / 10; seed++) {
			Run run = new Run(seed, CAPACITY);
			run.play();
			violations += (run.mostWhileCold > COLD_LIMIT) ? 1 : 0;
		}
		assertThat(violations, greaterThan(SCHEDULES / 20));
	}

	private static final class Run {

		private final EventLoop loop;

		private final TargetLimiter limiter;

		private final boolean checks;

		private final List<Call> open = new ArrayList<>();

		private long incarnation = 1;

		private long connectedTo = 1;

		private long warmAt = 200;

		private int onTarget;

		private int mostWhileCold;

		private int restarts;

		private Run(long seed, int coldLimit) {
			this.loop = new EventLoop(seed);
			this.checks = seed % 2 == 0;
			this.limiter = new TargetLimiter(LimiterSettings.reporting(coldLimit, CAPACITY));
		}

		private void play() {
			this.loop.after(0, 0, this::poll);
			this.loop.after(0, 0, this::load);
			this.loop.after(100, 700, this::restart);
			this.loop.run(END);
		}

		private long nanos() {
			return this.loop.now() * MILLIS;
		}

		private boolean cold() {
			return this.loop.now() < this.warmAt;
		}

		// A report is taken at the target and arrives up to 150 ms later; one
		// in five is lost.
		private void poll() {
			long asked = nanos();
			this.loop.after(0, 20, () -> {
				long reported = this.incarnation;
				boolean reportedCold = cold();
				if (!this.loop.chance(0.2)) {
					this.loop.after(1, 150, () -> this.limiter.targetObserved(reported, reportedCold, asked, nanos()));
				}
			});
			this.loop.after(50, 50, this::poll);
		}

		private void load() {
			while (this.limiter.tryStart(nanos()) instanceof Decision.Admitted admitted) {
				Call call = new Call(admitted, this.connectedTo);
				this.open.add(call);
				this.loop.after(0, 30, () -> arrive(call));
			}
			this.loop.after(3, 10, this::load);
		}

		// A request arrives only at the process that its connection leads to. Every other
		// target also checks the expected incarnation.
		private void arrive(Call call) {
			boolean expected = !this.checks || call.admitted.incarnation() == this.incarnation;
			if (call.incarnation != this.incarnation || !expected) {
				this.loop.after(1, 20, () -> {
					if (this.open.remove(call)) {
						this.limiter.finished(Observation.neutral(call.admitted), nanos());
					}
				});
				return;
			}
			this.onTarget++;
			if (cold()) {
				this.mostWhileCold = Math.max(this.mostWhileCold, this.onTarget);
			}
			this.loop.after(5, 40, () -> complete(call));
		}

		private void complete(Call call) {
			if (call.incarnation != this.incarnation) {
				return;
			}
			this.onTarget--;
			this.loop.after(1, 30, () -> {
				if (this.open.remove(call)) {
					this.limiter.finished(Observation.healthy(call.admitted, 20 * MILLIS), nanos());
				}
			});
		}

		// The target drops every connection; the agent notices up to 100 ms later.
		private void restart() {
			this.restarts++;
			this.incarnation++;
			this.onTarget = 0;
			this.warmAt = this.loop.now() + this.loop.random().nextLong(50, 400);
			long now = this.incarnation;
			this.loop.after(1, 100, () -> connectionLost(now));
			if (this.loop.now() < FAULTS_END) {
				this.loop.after(20, 700, this::restart);
			}
		}

		private void connectionLost(long toIncarnation) {
			this.connectedTo = Math.max(this.connectedTo, toIncarnation);
			this.limiter.connectionLost(nanos());
			for (Call call : List.copyOf(this.open)) {
				if (call.incarnation < toIncarnation && this.open.remove(call)) {
					this.limiter.finished(Observation.neutral(call.admitted), nanos());
				}
			}
		}

	}

	private record Call(Decision.Admitted admitted, long incarnation) {

		// Calls are compared by identity: two calls may have equal fields.
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
