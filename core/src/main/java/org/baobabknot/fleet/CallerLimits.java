package org.baobabknot.fleet;

/**
 * What callers may send.
 *
 * @param maxHeaderBytes longest head of a request, in bytes
 * @param maxBodyBytes longest body of a request, in bytes
 * @param headTimeoutMs longest time to send a head, in ms
 * @param idleTimeoutMs time after which an unused connection is closed, in ms
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headTimeoutMs, long idleTimeoutMs) {

	/**
	 * In force until a configuration is known; the values of the product's own settings.
	 */
	public static final CallerLimits DEFAULT = new CallerLimits(16 << 10, 4 << 20, 10_000, 60_000);

}
