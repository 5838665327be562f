package org.baobabknot.fleet;

/**
 * Limits of the size and duration of callers' requests.
 *
 * @param maxHeaderBytes maximum length of the request line and headers, in bytes
 * @param maxBodyBytes maximum length of a request body, in bytes
 * @param headTimeoutMs maximum time to send the request line and headers, in ms
 * @param idleTimeoutMs time after which an unused connection is closed, in ms
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headTimeoutMs, long idleTimeoutMs) {

	/**
	 * Limits until a configuration is in force; the same as the defaults of the settings
	 * of this software.
	 */
	public static final CallerLimits DEFAULT = new CallerLimits(16 << 10, 4 << 20, 10_000, 60_000);

}
