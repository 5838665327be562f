package org.baobabknot.routing;

import java.util.concurrent.TimeUnit;

/**
 * What an entry knows of the load of one agent. Guarded by the lock of the
 * {@link Balancer}.
 */
final class AgentLoad {

	/**
	 * Weight of the newest result in the moving averages.
	 */
	private static final double WEIGHT = 0.2;

	/**
	 * A measured latency counts half after this time without a newer one, so that an
	 * agent that was slow gets a request now and then and can recover.
	 */
	private static final long LATENCY_HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(5);

	private static final double LOWEST_SUCCESS_RATE = 0.05;

	private static final int MAX_DOUBLINGS = 16;

	final String name;

	final String service;

	final String domain;

	boolean leaving;

	private LoadReport report = new LoadReport(0, 0, 1, Availability.OPEN, 0);

	private int inFlight;

	private int startedSinceReport;

	private double latencyNanos;

	private long latencyAtNanos;

	private double successRate = 1;

	private int failures;

	private long holdUntilNanos;

	AgentLoad(String name, String service, String domain) {
		this.name = name;
		this.service = service;
		this.domain = domain;
	}

	void update(LoadReport newReport) {
		this.report = newReport;
		this.startedSinceReport = 0;
	}

	void started() {
		this.inFlight++;
		this.startedSinceReport++;
	}

	void finished(boolean success, long latency, long nowNanos, BalancerSettings settings) {
		this.inFlight = Math.max(0, this.inFlight - 1);
		this.successRate += WEIGHT * ((success ? 1 : 0) - this.successRate);
		if (success) {
			this.failures = 0;
			double known = latencyAt(nowNanos);
			this.latencyNanos = (known == 0) ? latency : known + WEIGHT * (latency - known);
			this.latencyAtNanos = nowNanos;
			return;
		}
		int doublings = Math.min(this.failures, MAX_DOUBLINGS);
		this.failures++;
		this.holdUntilNanos = nowNanos
				+ Math.min(settings.failureHoldMaxNanos(), settings.failureHoldNanos() << doublings);
	}

	void abandoned() {
		this.inFlight = Math.max(0, this.inFlight - 1);
	}

	boolean accepts() {
		return !this.leaving && this.report.availability().accepts();
	}

	/**
	 * Returns whether the agent failed recently. After the hold one request at a time
	 * tests the agent until one succeeds.
	 * @param nowNanos monotonic time
	 * @return whether it should be avoided
	 */
	boolean held(long nowNanos) {
		return this.failures > 0 && (nowNanos - this.holdUntilNanos < 0 || this.inFlight > 0);
	}

	/**
	 * Returns the estimated number of requests at the agent: its last report and what
	 * this process started since, but at least the own requests in flight.
	 * @return the estimate
	 */
	int requests() {
		int reported = this.report.running() + this.report.queued() + this.startedSinceReport;
		return Math.max(reported, this.inFlight);
	}

	int limit() {
		return Math.max(1, this.report.limit());
	}

	double relativeLoad() {
		return (requests() + 1.0) / limit();
	}

	double successPenalty() {
		double rate = Math.max(LOWEST_SUCCESS_RATE, this.successRate);
		return 1 / (rate * rate);
	}

	/**
	 * Returns the moving average of latency as this process measured it.
	 * @param nowNanos monotonic time
	 * @return the average, which decays without new results; 0 when nothing is known
	 */
	double latencyAt(long nowNanos) {
		if (this.latencyNanos == 0) {
			return this.report.latencyNanos();
		}
		double halfLives = (nowNanos - this.latencyAtNanos) / (double) LATENCY_HALF_LIFE_NANOS;
		return this.latencyNanos * Math.pow(0.5, Math.max(0, halfLives));
	}

}
