package org.baobabknot.admission;

import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.baobabknot.limit.LimitStatement;
import org.baobabknot.limit.PermitSchedule;
import org.baobabknot.limit.StatedLimit;

/**
 * Limits the number of requests that run at once on one target. The limit starts at the
 * cold limit and rises by one with each successful request, so it doubles about once per
 * service time. It is reset to the cold limit whenever the target may have restarted.
 * Thread-safe.
 */
public final class TargetLimiter {

	private static final long RETRY_AFTER_BUSY_MS = 50;

	private static final long RETRY_AFTER_CLOSED_MS = 500;

	private static final double LIMIT_AFTER_FAILURE_RATIO = 0.9;

	private final Object lock = new Object();

	private final LimiterSettings settings;

	private final Set<CloseReason> closeReasons = EnumSet.noneOf(CloseReason.class);

	private final LatencyTracker latencyTracker = new LatencyTracker();

	private double limit;

	private StatedLimit statedLimit = new StatedLimit();

	private PermitSchedule permits = new PermitSchedule();

	private int running;

	private long epoch;

	private int healthyInEpoch;

	private long coldSinceNanos;

	private boolean coldSinceKnown;

	private boolean reportedCold;

	private long lastColdReportNanos;

	private boolean statusKnown;

	private boolean newReportRequired;

	private long statusLostNanos;

	private long statusConfirmedNanos;

	private boolean incarnationKnown;

	private long incarnation;

	/**
	 * Creates a limiter at the cold limit.
	 * @param settings limits of the target
	 */
	public TargetLimiter(LimiterSettings settings) {
		this.settings = settings;
		this.limit = settings.coldLimit();
		this.statusKnown = !settings.reportsStatus();
	}

	/**
	 * Admits a request if fewer requests run than the limit allows.
	 * @param nowNanos monotonic time
	 * @return whether the request may start
	 */
	public AdmissionDecision tryStart(long nowNanos) {
		synchronized (this.lock) {
			if (!this.coldSinceKnown) {
				this.coldSinceKnown = true;
				this.coldSinceNanos = nowNanos;
			}
			for (CloseReason reason : this.closeReasons) {
				return new AdmissionDecision.Refused(AdmissionDecision.Reason.CLOSED, Optional.of(reason),
						RETRY_AFTER_CLOSED_MS);
			}
			if (!this.statusKnown) {
				return new AdmissionDecision.Refused(AdmissionDecision.Reason.NOT_OBSERVED, Optional.empty(),
						RETRY_AFTER_BUSY_MS);
			}
			if (this.running >= (int) this.limit) {
				return new AdmissionDecision.Refused(AdmissionDecision.Reason.AT_LIMIT, Optional.empty(),
						RETRY_AFTER_BUSY_MS);
			}
			if (this.statedLimit.limited() && this.permits.tryIssue(statedRate(), 1, 0, nowNanos).isEmpty()) {
				return new AdmissionDecision.Refused(AdmissionDecision.Reason.RATE_LIMITED, Optional.empty(),
						Math.max(1, TimeUnit.NANOSECONDS.toMillis(this.permits.waitNanos(nowNanos))));
			}
			this.running++;
			return new AdmissionDecision.Admitted(this.epoch, this.incarnation);
		}
	}

	private double statedRate() {
		return PermitSchedule.rate(this.statedLimit.ratePerSecond());
	}

	/**
	 * Takes into account what the target states about the requests that it takes.
	 * @param statement the statement
	 */
	public void recordLimit(LimitStatement statement) {
		synchronized (this.lock) {
			this.statedLimit.merge(statement);
		}
	}

	/**
	 * Returns how long a request waits for those before it because of the limit that the
	 * target states.
	 * @param requestsBefore requests that start before it
	 * @param nowNanos monotonic time
	 * @return time in ns, 0 without a limit
	 */
	public long statedWaitNanos(int requestsBefore, long nowNanos) {
		synchronized (this.lock) {
			return (!this.statedLimit.limited()) ? 0 : this.permits.waitNanos(nowNanos)
					+ (long) (requestsBefore * TimeUnit.SECONDS.toNanos(1) / statedRate());
		}
	}

	/**
	 * Ends a request that was admitted. Must be called exactly once for each admitted
	 * request.
	 * @param observation how the request ended
	 * @param nowNanos monotonic time
	 */
	public void finish(RequestObservation observation, long nowNanos) {
		synchronized (this.lock) {
			this.running--;
			if (observation.epoch() != this.epoch) {
				return;
			}
			switch (observation.outcome()) {
				case HEALTHY -> recordHealthy(observation.latencyNanos(), nowNanos);
				case FAILED -> reduceLimit();
				case NEUTRAL -> {
				}
			}
		}
	}

	private void reduceLimit() {
		this.limit = Math.max(this.settings.coldLimit(), this.limit * LIMIT_AFTER_FAILURE_RATIO);
	}

	private void recordHealthy(long latencyNanos, long nowNanos) {
		this.latencyTracker.add(latencyNanos, nowNanos);
		if (this.latencyTracker.averageExceeds(this.settings.latencyFactor(), this.settings.latencyThresholdNanos())) {
			this.latencyTracker.resetAverage();
			resetToColdLimit(nowNanos);
			return;
		}
		this.healthyInEpoch++;
		boolean inColdHold = nowNanos - this.coldSinceNanos < this.settings.coldHoldNanos();
		boolean halfUsed = (this.running + 1) * 2 >= this.limit;
		if (!this.reportedCold && this.statusKnown && !inColdHold && halfUsed
				&& this.healthyInEpoch >= this.settings.coldLimit()) {
			this.limit = Math.min(this.settings.capacity(), this.limit + 1);
		}
	}

	/**
	 * Processes a status report of the target. Reports can arrive late and out of order,
	 * so a report from another incarnation is accepted only if it was requested after the
	 * recorded status was last confirmed. Otherwise it is not clear which of the two
	 * incarnations is the current one, and no request is admitted until a report arrives
	 * that was requested from now on.
	 * @param reportedIncarnation incarnation of the target
	 * @param cold whether the target reports that it is cold
	 * @param requestedNanos monotonic time at which the report was requested
	 * @param nowNanos monotonic time
	 */
	public void onStatusReport(long reportedIncarnation, boolean cold, long requestedNanos, long nowNanos) {
		synchronized (this.lock) {
			boolean sameIncarnation = this.incarnationKnown && reportedIncarnation == this.incarnation;
			if (this.incarnationKnown && !sameIncarnation && requestedNanos - this.statusConfirmedNanos < 0) {
				resetUntilNewReport(nowNanos);
				return;
			}
			if (!sameIncarnation) {
				this.statedLimit = new StatedLimit();
				this.permits = new PermitSchedule();
			}
			if (!sameIncarnation || (cold && !this.reportedCold)) {
				resetToColdLimit(nowNanos);
			}
			if (cold || !sameIncarnation || requestedNanos - this.lastColdReportNanos >= 0) {
				this.reportedCold = cold;
			}
			if (cold) {
				this.lastColdReportNanos = nowNanos;
			}
			this.incarnation = reportedIncarnation;
			this.incarnationKnown = true;
			this.statusConfirmedNanos = nowNanos;
			if (!this.statusKnown && (!this.newReportRequired || requestedNanos - this.statusLostNanos >= 0)) {
				this.statusKnown = true;
				this.newReportRequired = false;
			}
		}
	}

	/**
	 * Resets the limit to the cold limit because a connection to the target was lost. If
	 * the target reports its status, no request is admitted until it has reported again.
	 * @param nowNanos monotonic time
	 */
	public void onConnectionLost(long nowNanos) {
		synchronized (this.lock) {
			resetUntilNewReport(nowNanos);
		}
	}

	private void resetUntilNewReport(long nowNanos) {
		resetToColdLimit(nowNanos);
		this.statusKnown = !this.settings.reportsStatus();
		this.newReportRequired = true;
		this.statusLostNanos = nowNanos;
	}

	private void resetToColdLimit(long nowNanos) {
		this.limit = this.settings.coldLimit();
		this.epoch++;
		this.healthyInEpoch = 0;
		this.coldSinceNanos = nowNanos;
		this.coldSinceKnown = true;
	}

	/**
	 * Closes admission for a reason.
	 * @param reason the reason, which stays set until {@link #open} removes it
	 */
	public void close(CloseReason reason) {
		synchronized (this.lock) {
			this.closeReasons.add(reason);
		}
	}

	/**
	 * Removes one reason for closed admission. After a version switch or a period of
	 * unavailability the target counts as cold. After a version switch, no request is
	 * admitted until a new report arrives, because earlier reports do not show that the
	 * target is cold.
	 * @param reason the reason that no longer applies
	 * @param nowNanos monotonic time
	 */
	public void open(CloseReason reason, long nowNanos) {
		synchronized (this.lock) {
			boolean removed = this.closeReasons.remove(reason);
			if (removed && reason == CloseReason.SWITCHING) {
				resetUntilNewReport(nowNanos);
			}
			else if (removed && reason == CloseReason.UNAVAILABLE) {
				resetToColdLimit(nowNanos);
			}
		}
	}

	/**
	 * Returns the first reason for which admission is closed.
	 * @return the reason, empty when admission is open
	 */
	public Optional<CloseReason> closeReason() {
		synchronized (this.lock) {
			return this.closeReasons.stream().findFirst();
		}
	}

	/**
	 * Returns the number of requests that may currently run at once.
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
	 * Returns the moving average of the time until the first byte of a response.
	 * @return the average in nanoseconds, 0 before the first completion
	 */
	public long averageLatencyNanos() {
		synchronized (this.lock) {
			return this.latencyTracker.averageNanos();
		}
	}

}
