package org.baobabknot.standin.links;

/**
 * Rate and delay of the links between two failure domains.
 *
 * @param from a failure domain, or {@code *} for any
 * @param to a failure domain, or {@code *} for any
 * @param bytesPerSecond rate in each direction, shared by all connections, 0 for no limit
 * @param delayMillis one-way delay in milliseconds
 */
public record LinkSettings(String from, String to, long bytesPerSecond, double delayMillis) {

	/**
	 * Returns whether these settings apply to a pair of failure domains in either order.
	 * @param domain a failure domain
	 * @param otherDomain a failure domain
	 * @return whether the settings apply
	 */
	boolean matches(String domain, String otherDomain) {
		return DomainPairs.matchesInAnyOrder(this.from, this.to, domain, otherDomain);
	}

}
