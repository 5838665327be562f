package org.baobabknot.fleet;

import java.util.List;
import java.util.Set;

/**
 * Which requests go to which services, and under which limits.
 *
 * @param name name of the route
 * @param host value of the host header, without a port
 * @param prefix prefix of the path, which begins and ends with a slash
 * @param kind how often a request may run
 * @param timeoutMs longest time that a caller is kept waiting, in ms
 * @param objectiveMs time within which an answer counts as timely, in ms; for streams the
 * time to the first event
 * @param pauseObjectiveMs longest pause between two events of a timely stream, in ms, 0
 * if there is none
 * @param priority rank of the requests, 0 first
 * @param services services that answer the route
 * @param maxAttempts most targets to which one request is sent
 * @param anonymous whether requests carry no key
 * @param resumable whether a stream may continue at another target
 * @param regions regions in which requests may be served, empty for all
 */
public record Route(String name, String host, String prefix, RequestKind kind, long timeoutMs, long objectiveMs,
		long pauseObjectiveMs, int priority, List<ServiceShare> services, int maxAttempts, boolean anonymous,
		boolean resumable, Set<String> regions) {

	/** Time that a caller waits for any event of a stream, as the platform states it. */
	private static final long MIN_CALLER_TIMEOUT_MS = 2_000;

	private static final long CALLER_TIMEOUT_OBJECTIVES = 4;

	private static final long CALLER_TIMEOUT_PAUSES = 8;

	public Route {
		services = List.copyOf(services);
		regions = Set.copyOf(regions);
	}

	/**
	 * Returns how long a caller waits for the first event of a stream before it leaves.
	 * @return time in ms; for requests other than streams the time-out
	 */
	public long callerTimeoutMs() {
		return (this.kind != RequestKind.STREAM) ? this.timeoutMs : Math.max(MIN_CALLER_TIMEOUT_MS,
				Math.max(this.objectiveMs * CALLER_TIMEOUT_OBJECTIVES, this.pauseObjectiveMs * CALLER_TIMEOUT_PAUSES));
	}

	/**
	 * Chooses a service by weight.
	 * @param draw a number from 0 (inclusive) to 1 (exclusive)
	 * @return name of the service, empty if the route has none with a weight
	 */
	public String service(double draw) {
		double total = 0;
		for (ServiceShare share : this.services) {
			total += share.weight();
		}
		double remaining = draw * total;
		for (ServiceShare share : this.services) {
			remaining -= share.weight();
			if (remaining < 0) {
				return share.service();
			}
		}
		return "";
	}

	/**
	 * Tells whether a request that may have run can be sent again.
	 * @return true if a second run does no harm
	 */
	public boolean repeatable() {
		return this.kind.repeatable(this.resumable);
	}

}
