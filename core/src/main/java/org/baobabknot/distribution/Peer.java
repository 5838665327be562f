package org.baobabknot.distribution;

/**
 * An agent that takes part in the distribution of weights.
 *
 * @param instance its instance
 * @param domain its failure domain
 * @param region its region
 */
public record Peer(String instance, String domain, String region) {
}
