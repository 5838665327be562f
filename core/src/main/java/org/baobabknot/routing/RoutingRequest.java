package org.baobabknot.routing;

import java.util.Optional;

/**
 * What the choice of an agent depends on.
 *
 * @param service service that the request is for
 * @param affinity preference for particular agents
 * @param key what the preference is hashed from, empty without a preference
 */
public record RoutingRequest(String service, Affinity affinity, String key) {

	/**
	 * Returns a request without preference.
	 * @param service the service
	 * @return the request
	 */
	public static RoutingRequest of(String service) {
		return new RoutingRequest(service, Affinity.NONE, "");
	}

	/**
	 * Returns a request that prefers agents whose target has its prompt prefix cached.
	 * @param service the service
	 * @param prefix the prefix or its hash
	 * @return the request
	 */
	public static RoutingRequest withPrefix(String service, String prefix) {
		return new RoutingRequest(service, Affinity.PREFIX, prefix);
	}

	/**
	 * Returns a request that goes to the home agent of the bucket of its idempotency key.
	 * @param service the service
	 * @param bucket number of the bucket
	 * @return the request
	 */
	public static RoutingRequest withIdempotencyBucket(String service, int bucket) {
		return new RoutingRequest(service, Affinity.HOME, service + "/" + bucket);
	}

	Optional<String> affinityKey(Affinity wanted) {
		return (this.affinity == wanted) ? Optional.of(this.key) : Optional.empty();
	}

	/**
	 * Kinds of preference.
	 */
	public enum Affinity {

		/**
		 * No preference.
		 */
		NONE,

		/**
		 * Preference that yields when the preferred agent has more than its share of the
		 * load.
		 */
		PREFIX,

		/**
		 * The highest-ranked agent of all failure domains, whatever its load.
		 */
		HOME

	}

}
