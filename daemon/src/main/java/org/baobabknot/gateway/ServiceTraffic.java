package org.baobabknot.gateway;

import java.util.HashMap;
import java.util.Map;

import org.baobabknot.fleet.EngineSpeed;
import org.baobabknot.fleet.FleetView;
import org.baobabknot.fleet.ServiceDefinition;
import org.baobabknot.placement.ArrivalRate;
import org.baobabknot.placement.RequestEstimate;
import org.baobabknot.provider.CallerRequestHead;
import org.baobabknot.retry.FleetRetryBudget;
import org.baobabknot.settings.FleetSettings;

/**
 * What this process knows about the traffic of each service: arrivals, latencies of plain
 * services, and the retries that are left.
 */
final class ServiceTraffic {

	/** Fraction of the allowed retries that all processes use together. */
	private static final double RETRY_BUDGET_RATIO = 0.8;

	/** Latency assumed for a plain service before its first response. */
	private static final double DEFAULT_LATENCY_MS = 50;

	private static final double NEWEST_LATENCY_RATIO = 0.05;

	/** Requests that an engine runs at once, for the estimate of its pace. */
	private static final int TYPICAL_BATCH = 16;

	private final FleetView view;

	private final FleetSettings.Bounds bounds;

	private final Map<String, ArrivalRate> arrivalRates = new HashMap<>();

	private final Map<String, FleetRetryBudget> budgets = new HashMap<>();

	private final Map<String, Double> averageLatencyMs = new HashMap<>();

	ServiceTraffic(FleetView view, FleetSettings.Bounds bounds) {
		this.view = view;
		this.bounds = bounds;
	}

	/**
	 * Counts a request.
	 * @param service name of its service
	 * @param nowNanos monotonic time
	 */
	void recordArrival(String service, long nowNanos) {
		retryBudget(service).deposit(nowNanos);
		this.arrivalRates.computeIfAbsent(service, (name) -> new ArrivalRate()).count(nowNanos);
	}

	/**
	 * Withdraws one retry from the budget of a service.
	 * @param service name of the service
	 * @param nowNanos monotonic time
	 * @return whether the retry is allowed
	 */
	boolean tryRetry(String service, long nowNanos) {
		return retryBudget(service).tryWithdraw(this.view.limitDivisor(), nowNanos);
	}

	/**
	 * Returns whether the budget of a service has a retry, without taking it.
	 * @param service name of the service
	 * @param nowNanos monotonic time
	 * @return whether a retry is allowed
	 */
	boolean allowsRetry(String service, long nowNanos) {
		return retryBudget(service).allows(this.view.limitDivisor(), nowNanos);
	}

	private FleetRetryBudget retryBudget(String service) {
		return this.budgets.computeIfAbsent(service,
				(name) -> new FleetRetryBudget(this.bounds.retryRatio() * RETRY_BUDGET_RATIO,
						this.bounds.retryMinimum() * RETRY_BUDGET_RATIO, this.bounds.retryWindowMs()));
	}

	/**
	 * Records the time to the first byte of a response.
	 * @param service service of the request
	 * @param latencyMs time in ms
	 */
	void recordLatency(ServiceDefinition service, double latencyMs) {
		if (service.engineSpeed() == null) {
			this.averageLatencyMs.merge(service.name(), latencyMs,
					(average, newest) -> average * (1 - NEWEST_LATENCY_RATIO) + newest * NEWEST_LATENCY_RATIO);
		}
	}

	/**
	 * Estimates the cost of a request.
	 * @param head head of the request
	 * @param service its service
	 * @param objectiveLeftMs time until the objective for its first byte, in ms
	 * @param remainingMs time until its deadline, in ms
	 * @param refusable whether it may be refused because others compete with it
	 * @param nowNanos monotonic time
	 * @return the estimate
	 */
	RequestEstimate estimate(CallerRequestHead head, ServiceDefinition service, double objectiveLeftMs,
			long remainingMs, boolean refusable, long nowNanos) {
		double competingPerSecond = (refusable) ? requestsPerSecond(service.name(), nowNanos) : 0;
		EngineSpeed pace = service.engineSpeed();
		if (pace == null) {
			double averageMs = this.averageLatencyMs.getOrDefault(service.name(), DEFAULT_LATENCY_MS);
			return new RequestEstimate(averageMs, averageMs, objectiveLeftMs, remainingMs, competingPerSecond);
		}
		double promptTokens = head.promptTokens();
		double promptMs = ((promptTokens >= 0) ? promptTokens : pace.promptTokens()) / pace.promptTokensPerMs();
		double firstMs = promptMs + pace.stepMs() * pace.stepsPerEvent();
		return new RequestEstimate(firstMs, pace.occupancyMs(TYPICAL_BATCH, promptTokens, head.expectedOutputTokens()),
				objectiveLeftMs, remainingMs, competingPerSecond);
	}

	// The rate of all entries, 0 as long as their number is unknown.
	private double requestsPerSecond(String service, long nowNanos) {
		ArrivalRate rate = this.arrivalRates.get(service);
		return (rate != null && this.view.entriesComplete()) ? rate.perSecond(nowNanos) * this.view.limitDivisor() : 0;
	}

}
