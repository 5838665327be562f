package org.baobabknot.gossip;

/**
 * Identity of this process.
 *
 * @param instance name of the instance
 * @param failureDomain its failure domain
 * @param region its region
 * @param isEntry true for an entry, false for an agent
 */
public record ProcessIdentity(String instance, String failureDomain, String region, boolean isEntry) {
}
