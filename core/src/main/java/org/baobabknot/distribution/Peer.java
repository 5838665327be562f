package org.baobabknot.distribution;

/**
 * An agent as the planner sees it.
 *
 * @param instance its instance
 * @param domain its failure domain
 * @param region its region
 */
public record Peer(String instance, String domain, String region) {
}
