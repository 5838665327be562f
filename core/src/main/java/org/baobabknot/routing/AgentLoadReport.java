package org.baobabknot.routing;

/**
 * Load on one target as its agent reported it.
 *
 * @param running requests that run on the target
 * @param queued requests that wait at the agent
 * @param limit requests that may run at once
 * @param availability whether the agent accepts new requests
 * @param latencyNanos moving average of the time until the first byte, 0 when not known
 */
public record AgentLoadReport(int running, int queued, int limit, Availability availability, long latencyNanos) {

}
