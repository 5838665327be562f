package org.baobabknot.routing;

/**
 * Whether an agent accepts new requests, as it last reported.
 */
public enum Availability {

	/**
	 * The agent accepts new requests.
	 */
	OPEN(true),

	/**
	 * The agent drains to switch the version, or its target loads weights.
	 */
	SWITCHING(false),

	/**
	 * The agent is leaving.
	 */
	LEAVING(false),

	/**
	 * The target of the agent does not respond or has no complete version.
	 */
	UNAVAILABLE(false),

	/**
	 * The failure domain of the agent is out of service.
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
