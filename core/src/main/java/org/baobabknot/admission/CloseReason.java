package org.baobabknot.admission;

/**
 * Reasons for which admission is closed. Each is closed and opened on its own.
 */
public enum CloseReason {

	/**
	 * The target drains for a switch of version or is loading.
	 */
	SWITCHING,

	/**
	 * The instance is leaving or an operator drains it.
	 */
	LEAVING,

	/**
	 * The target does not answer or has no complete version.
	 */
	UNAVAILABLE,

	/**
	 * The rules take the failure domain out of service.
	 */
	DOMAIN_OUT

}
