package org.baobabknot.admission;

import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;

/**
 * Number of requests that run at once on one target. The limit starts at the cold limit,
 * rises by one with each healthy completion (so it doubles about once per service time),
 * and falls back to the cold limit whenever the target may have restarted. Thread-safe.
 */
public final class TargetLimiter {

	private static final long RETRY_AFTER_BUSY_MILLIS = 50;

	private static final long RETRY_AFTER_CLOSED_MILLIS = 500;

	private static final double FAILURE_FACTOR = 0.9;

	private final Object lock = new Object();

	private final LimiterSettings settings;

	private final Set<CloseReason> closed = EnumSet.noneOf(CloseReason.class);

	private final LatencyFloor latency = new LatencyFloor();

	private double limit;

	private int running;

	private long epoch;

	private int healthyInEpoch;

	private long coldSince;

	private boolean everFell;

	private boolean reportedCold;

	private long reportedColdNanos;

	private boolean observed;

	private boolean blind;

	private long blindNanos;

	private long confirmedNanos;

	private boolean incarnationKnown;

	private long incarnation;

	/**
	 * Creates a limiter at the cold limit.
	 * @param settings limits of the target
	 */
	public TargetLimiter(LimiterSettings settings) {
		this.settings = settings;
		this.limit = settings.coldLimit();
		this.observed = !settings.reportsStatus();
	}

	/**
	 * Starts a request if the target can handle one more.
	 * @param nowNanos monotonic time
	 * @return whether the request may start
	 */
	public Decision tryStart(long nowNanos) {
		synchronized (this.lock) {
			if (!this.everFell) {
				this.everFell = true;
				this.coldSince = nowNanos;
			}
			for (CloseReason reason : this.closed) {
				return new Decision.Rejected(Decision.Reason.CLOSED, Optional.of(reason), RETRY_AFTER_CLOSED_MILLIS);
			}
			if (!this.observed) {
				return new Decision.Rejected(Decision.Reason.NOT_OBSERVED, Optional.empty(), RETRY_AFTER_BUSY_MILLIS);
			}
			if (this.running >= (int) this.limit) {
				return new Decision.Rejected(Decision.Reason.AT_LIMIT, Optional.empty(), RETRY_AFTER_BUSY_MILLIS);
			}
			this.running++;
			return new Decision.Admitted(this.epoch, this.incarnation);
		}
	}

	/**
	 * Ends a request that was admitted. Must be called exactly once for each.
	 * @param observation how the request ended
	 * @param nowNanos monotonic time
	 */
	public void finished(Observation observation, long nowNanos) {
		synchronized (this.lock) {
			this.running--;
			if (observation.epoch() != this.epoch) {
				return;
			}
			switch (observation.outcome()) {
				case HEALTHY -> completed(observation.latencyNanos(), nowNanos);
				case FAILED -> reduce();
				case NEUTRAL -> {
				}
			}
		}
	}

	private void reduce() {
		this.limit = Math.max(this.settings.coldLimit(), this.limit * FAILURE_FACTOR);
	}

	private void completed(long latencyNanos, long nowNanos) {
		this.latency.add(latencyNanos, nowNanos);
		if (this.latency.farAbove(this.settings.latencyFactor(), this.settings.latencyMinimumNanos())) {
			this.latency.forgetAverage();
			fall(nowNanos);
			return;
		}
		this.healthyInEpoch++;
		boolean held = nowNanos - this.coldSince < this.settings.coldHoldNanos();
		boolean used = (this.running + 1) * 2 >= this.limit;
		if (!this.reportedCold && this.observed && !held && used && this.healthyInEpoch >= this.settings.coldLimit()) {
			this.limit = Math.min(this.settings.capacity(), this.limit + 1);
		}
	}

	/**
	 * Takes in a status report of the target. Reports can arrive late and out of order,
	 * so one that contradicts what is known counts only if it was asked for after the
	 * known state was last confirmed. Otherwise it is not clear which of the two is
	 * current, and nothing starts until a report that is asked for from now on arrives.
	 * @param reportedIncarnation incarnation of the target
	 * @param cold whether the target says that it is cold
	 * @param askedNanos monotonic time at which the report was asked for
	 * @param nowNanos monotonic time
	 */
	public void targetObserved(long reportedIncarnation, boolean cold, long askedNanos, long nowNanos) {
		synchronized (this.lock) {
			boolean current = this.incarnationKnown && reportedIncarnation == this.incarnation;
			if (this.incarnationKnown && !current && askedNanos - this.confirmedNanos < 0) {
				becomeBlind(nowNanos);
				return;
			}
			if (!current || (cold && !this.reportedCold)) {
				fall(nowNanos);
			}
			if (cold || !current || askedNanos - this.reportedColdNanos >= 0) {
				this.reportedCold = cold;
			}
			if (cold) {
				this.reportedColdNanos = nowNanos;
			}
			this.incarnation = reportedIncarnation;
			this.incarnationKnown = true;
			this.confirmedNanos = nowNanos;
			if (!this.observed && (!this.blind || askedNanos - this.blindNanos >= 0)) {
				this.observed = true;
				this.blind = false;
			}
		}
	}

	/**
	 * Falls back to the cold limit because a connection to the target was lost. A target
	 * that reports its status gets no new request until it has reported again.
	 * @param nowNanos monotonic time
	 */
	public void connectionLost(long nowNanos) {
		synchronized (this.lock) {
			becomeBlind(nowNanos);
		}
	}

	private void becomeBlind(long nowNanos) {
		fall(nowNanos);
		this.observed = !this.settings.reportsStatus();
		this.blind = true;
		this.blindNanos = nowNanos;
	}

	private void fall(long nowNanos) {
		this.limit = this.settings.coldLimit();
		this.epoch++;
		this.healthyInEpoch = 0;
		this.coldSince = nowNanos;
		this.everFell = true;
	}

	/**
	 * Closes admission for a reason.
	 * @param reason the reason, to be opened separately
	 */
	public void close(CloseReason reason) {
		synchronized (this.lock) {
			this.closed.add(reason);
		}
	}

	/**
	 * Removes one reason for closed admission. After a switch of version or a period of
	 * unavailability the target counts as cold; after a switch nothing starts until a new
	 * report, because the reports from before do not tell that it is cold.
	 * @param reason the reason that no longer applies
	 * @param nowNanos monotonic time
	 */
	public void open(CloseReason reason, long nowNanos) {
		synchronized (this.lock) {
			boolean removed = this.closed.remove(reason);
			if (removed && reason == CloseReason.SWITCHING) {
				becomeBlind(nowNanos);
			}
			else if (removed && reason == CloseReason.UNAVAILABLE) {
				fall(nowNanos);
			}
		}
	}

	/**
	 * Returns the first reason for which admission is closed.
	 * @return the reason, or nothing when admission is open
	 */
	public Optional<CloseReason> closedFor() {
		synchronized (this.lock) {
			return this.closed.stream().findFirst();
		}
	}

	/**
	 * Returns the number of requests that may run at once now.
	 * @return the limit
	 */
	public int limit() {
		synchronized (this.lock) {
			return (int) this.limit;
		}
	}

	/**
	 * Returns the number of requests that were admitted and have not finished.
	 * @return the number of running requests
	 */
	public int running() {
		synchronized (this.lock) {
			return this.running;
		}
	}

	/**
	 * Returns the moving average of the time until the first byte.
	 * @return the average in nanoseconds, 0 before the first completion
	 */
	public long latencyNanos() {
		synchronized (this.lock) {
			return this.latency.averageNanos();
		}
	}

}
