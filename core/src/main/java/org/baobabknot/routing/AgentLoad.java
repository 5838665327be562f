package org.baobabknot.routing;

import java.util.concurrent.TimeUnit;

/**
 * Load and health of one agent as an entry estimates them from the agent's reports and
 * its own requests. Guarded by the lock of the {@link Balancer}.
 */
final class AgentLoad {

	/**
	 * Weight of the newest result in the moving averages.
	 */
	private static final double NEWEST_WEIGHT = 0.2;

	/**
	 * Time in which a measured latency decays to half without a newer one, so that an
	 * agent that was slow still gets some requests and can recover.
	 */
	private static final long LATENCY_HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(5);

	private static final double MIN_SUCCESS_RATIO = 0.05;

	private static final int MAX_DOUBLINGS = 16;

	final String name;

	final String service;

	final String domain;

	boolean leaving;

	private AgentLoadReport report = new AgentLoadReport(0, 0, 1, Availability.OPEN, 0);

	private int inFlight;

	private int startedSinceReport;

	private double latencyNanos;

	private long latencyUpdatedNanos;

	private double successRatio = 1;

	private int failures;

	private long avoidedUntilNanos;

	AgentLoad(String name, String service, String domain) {
		this.name = name;
		this.service = service;
		this.domain = domain;
	}

	void update(AgentLoadReport newReport) {
		this.report = newReport;
		this.startedSinceReport = 0;
	}

	void recordStart() {
		this.inFlight++;
		this.startedSinceReport++;
	}

	void recordResult(boolean success, long newLatencyNanos, long nowNanos, BalancerSettings settings) {
		this.inFlight = Math.max(0, this.inFlight - 1);
		this.successRatio += NEWEST_WEIGHT * ((success ? 1 : 0) - this.successRatio);
		if (success) {
			this.failures = 0;
			double previousLatencyNanos = latencyNanos(nowNanos);
			this.latencyNanos = (previousLatencyNanos == 0) ? newLatencyNanos
					: previousLatencyNanos + NEWEST_WEIGHT * (newLatencyNanos - previousLatencyNanos);
			this.latencyUpdatedNanos = nowNanos;
			return;
		}
		int doublings = Math.min(this.failures, MAX_DOUBLINGS);
		this.failures++;
		this.avoidedUntilNanos = nowNanos
				+ Math.min(settings.maxAvoidanceNanos(), settings.minAvoidanceNanos() << doublings);
	}

	void recordAbandoned() {
		this.inFlight = Math.max(0, this.inFlight - 1);
	}

	boolean accepts() {
		return !this.leaving && this.report.availability().accepts();
	}

	/**
	 * Returns whether the agent is avoided after failures. After the time of avoidance
	 * one request at a time is allowed until one succeeds.
	 * @param nowNanos monotonic time
	 * @return whether the agent is avoided
	 */
	boolean isAvoided(long nowNanos) {
		return this.failures > 0 && (nowNanos - this.avoidedUntilNanos < 0 || this.inFlight > 0);
	}

	/**
	 * Returns the estimated number of requests at the agent: those of its last report and
	 * those that this process started since, but at least the requests of this process in
	 * flight.
	 * @return the estimate
	 */
	int estimatedRequests() {
		int reported = this.report.running() + this.report.queued() + this.startedSinceReport;
		return Math.max(reported, this.inFlight);
	}

	int limit() {
		return Math.max(1, this.report.limit());
	}

	double relativeLoad() {
		return (estimatedRequests() + 1.0) / limit();
	}

	double failurePenalty() {
		double ratio = Math.max(MIN_SUCCESS_RATIO, this.successRatio);
		return 1 / (ratio * ratio);
	}

	/**
	 * Returns the moving average of latency as this process measured it.
	 * @param nowNanos monotonic time
	 * @return the average in nanoseconds, which decays without new results; the reported
	 * latency if none was measured, 0 if that is not known either
	 */
	double latencyNanos(long nowNanos) {
		if (this.latencyNanos == 0) {
			return this.report.latencyNanos();
		}
		double halfLives = (nowNanos - this.latencyUpdatedNanos) / (double) LATENCY_HALF_LIFE_NANOS;
		return this.latencyNanos * Math.pow(0.5, Math.max(0, halfLives));
	}

}
