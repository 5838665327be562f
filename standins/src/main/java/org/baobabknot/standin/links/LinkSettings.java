package org.baobabknot.standin.links;

/**
 * Settings of the links between two failure domains.
 *
 * @param from a failure domain, or {@code *} for any
 * @param to a failure domain, or {@code *} for any
 * @param bytesPerSecond rate in each direction, shared by all connections, 0 for no limit
 * @param delayMillis one-way delay
 */
public record LinkSettings(String from, String to, long bytesPerSecond, double delayMillis) {

	/**
	 * Tells whether these settings are for a pair in any order.
	 * @param domain a failure domain
	 * @param otherDomain a failure domain
	 * @return whether they apply
	 */
	boolean matches(String domain, String otherDomain) {
		return DomainPairs.matchesInAnyOrder(this.from, this.to, domain, otherDomain);
	}

}
