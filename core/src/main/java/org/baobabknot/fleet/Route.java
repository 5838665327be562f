package org.baobabknot.fleet;

import java.util.List;
import java.util.Set;

/**
 * Route of the requests with a host and a path prefix to services, with its limits.
 *
 * @param name name of the route
 * @param host value of the host header, without a port
 * @param prefix prefix of the path, which begins and ends with a slash
 * @param kind kind of the requests, which determines whether they may run more than once
 * @param timeoutMs maximum time that a caller waits for a response, in ms
 * @param objectiveMs time within which a response is in time, in ms; for streams the time
 * to the first event
 * @param pauseObjectiveMs maximum pause between two events of a stream that is in time,
 * in ms, 0 for no limit
 * @param priority priority of the requests, 0 is the highest
 * @param services services that the requests are distributed to, with their weights
 * @param maxAttempts maximum number of attempts for one request
 * @param anonymous whether requests carry no API key
 * @param resumable whether a stream may be resumed at another target
 * @param regions regions in which requests may be served, empty for all
 */
public record Route(String name, String host, String prefix, RequestKind kind, long timeoutMs, long objectiveMs,
		long pauseObjectiveMs, int priority, List<ServiceShare> services, int maxAttempts, boolean anonymous,
		boolean resumable, Set<String> regions) {

	/**
	 * Minimum time that a caller waits for an event of a stream, as specified by the
	 * platform.
	 */
	private static final long MIN_CALLER_TIMEOUT_MS = 2_000;

	private static final long CALLER_TIMEOUT_OBJECTIVES = 4;

	private static final long CALLER_TIMEOUT_PAUSES = 8;

	public Route {
		services = List.copyOf(services);
		regions = Set.copyOf(regions);
	}

	/**
	 * Returns the time that a caller waits for the first event of a stream before it
	 * abandons the request.
	 * @return time in ms; for requests other than streams the timeout of the route
	 */
	public long callerTimeoutMs() {
		return (this.kind != RequestKind.STREAM) ? this.timeoutMs : Math.max(MIN_CALLER_TIMEOUT_MS,
				Math.max(this.objectiveMs * CALLER_TIMEOUT_OBJECTIVES, this.pauseObjectiveMs * CALLER_TIMEOUT_PAUSES));
	}

	/**
	 * Chooses a service by weight.
	 * @param draw random number from 0 (inclusive) to 1 (exclusive)
	 * @return name of the service, empty if the route has no service with a positive
	 * weight
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
	 * Returns whether a request that may have run can be sent again.
	 * @return true if a second run does no harm
	 */
	public boolean repeatable() {
		return this.kind.repeatable(this.resumable);
	}

}
