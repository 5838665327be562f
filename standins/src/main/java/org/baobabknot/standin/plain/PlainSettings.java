package org.baobabknot.standin.plain;

/**
 * Settings of a plain service stand-in.
 *
 * @param service the service
 * @param failureDomain the failure domain, written to the record
 * @param requestMillis time per request in milliseconds
 * @param capacity maximum number of concurrent requests, 0 for no limit; further requests
 * are queued
 * @param coldLimit maximum number of concurrent requests while the service is cold, 0 for
 * no limit; more make it crash
 * @param coldMillis time in milliseconds from a start until the service is warm
 */
public record PlainSettings(String service, String failureDomain, long requestMillis, int capacity, int coldLimit,
		long coldMillis) {

	/**
	 * Returns settings of a fast service without a cold start.
	 * @param service the service
	 * @param failureDomain the failure domain
	 * @return 2 ms per request
	 */
	public static PlainSettings of(String service, String failureDomain) {
		return new PlainSettings(service, failureDomain, 2, 0, 0, 0);
	}

}
