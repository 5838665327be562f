package org.baobabknot.standin.plain;

/**
 * Settings of a plain service.
 *
 * @param service the service
 * @param failureDomain the failure domain, for the record
 * @param requestMillis time per request
 * @param capacity requests that run at once, 0 for no limit; more wait
 * @param coldLimit requests that may run at once after a start, 0 for no limit
 * @param coldMillis time from a start until the service is warm
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
