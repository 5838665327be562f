package org.baobabknot.routing;

/**
 * Whether an agent accepts new requests, as it last reported.
 */
public enum Availability {

	/**
	 * It accepts new requests.
	 */
	OPEN(true),

	/**
	 * It drains for a switch of version or loads.
	 */
	SWITCHING(false),

	/**
	 * It is leaving.
	 */
	LEAVING(false),

	/**
	 * Its target does not answer or has no complete version.
	 */
	UNAVAILABLE(false),

	/**
	 * Its failure domain is out of service.
	 */
	DOMAIN_OUT(false);

	private final boolean accepts;

	Availability(boolean accepts) {
		this.accepts = accepts;
	}

	/**
	 * Returns whether new requests are accepted.
	 * @return whether new requests are accepted
	 */
	public boolean accepts() {
		return this.accepts;
	}

}
