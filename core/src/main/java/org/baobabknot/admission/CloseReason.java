package org.baobabknot.admission;

/**
 * Reasons for which a target admits no requests. They are set and removed independently;
 * admission is open while none is set.
 */
public enum CloseReason {

	/**
	 * The target drains for a version switch or is loading.
	 */
	SWITCHING,

	/**
	 * The instance is leaving or an operator drains it.
	 */
	LEAVING,

	/**
	 * The target does not respond or has no complete version.
	 */
	UNAVAILABLE,

	/**
	 * The rules take the failure domain out of service.
	 */
	DOMAIN_OUT

}
