package org.baobabknot.routing;

import java.util.Optional;

/**
 * Properties of a request that the choice of its agent depends on.
 *
 * @param service service that the request is for
 * @param affinity preference for particular agents
 * @param key key by which the preferred agent is selected with rendezvous hashing, empty
 * without a preference
 */
public record RoutingRequest(String service, Affinity affinity, String key) {

	/**
	 * Creates a request without preference.
	 * @param service the service
	 * @return the request
	 */
	public static RoutingRequest of(String service) {
		return new RoutingRequest(service, Affinity.NONE, "");
	}

	/**
	 * Creates a request that prefers the agent whose target has its prompt prefix cached.
	 * @param service the service
	 * @param prefix the prefix or its hash
	 * @return the request
	 */
	public static RoutingRequest withPrefix(String service, String prefix) {
		return new RoutingRequest(service, Affinity.PREFIX, prefix);
	}

	/**
	 * Creates a request with an idempotency key, which is sent to the home agent of the
	 * bucket of its key.
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
		 * Preference for one agent while its load is within a multiple of the mean.
		 */
		PREFIX,

		/**
		 * The highest-ranked agent of all failure domains, whatever its load.
		 */
		HOME

	}

}
