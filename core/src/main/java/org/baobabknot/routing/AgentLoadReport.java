package org.baobabknot.routing;

/**
 * Load of one target, reported by its agent.
 *
 * @param running requests running on the target
 * @param queued requests queued at the agent
 * @param limit requests that may run concurrently
 * @param availability whether the agent accepts new requests
 * @param latencyNanos moving average of the time until the first byte, in nanoseconds, 0
 * if not known
 */
public record AgentLoadReport(int running, int queued, int limit, Availability availability, long latencyNanos) {

}
