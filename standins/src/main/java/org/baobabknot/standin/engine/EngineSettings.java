package org.baobabknot.standin.engine;

/**
 * Settings of an engine.
 *
 * @param service the service
 * @param failureDomain the failure domain, for the record
 * @param capacity requests that run at once; more are queued
 * @param coldLimit requests that may run at once while the engine is cold
 * @param tokenMillis time per token
 * @param prefillMillis time before the first token, none when the prompt's prefix is
 * cached
 * @param cacheEntries prompt prefixes that are cached
 * @param coldMillis time from a start or load until the engine is warm
 * @param loadMillis time to load weights after their last byte
 * @param reportLagMillis age of the reported load
 * @param checksFence whether it refuses an outdated fencing token
 */
public record EngineSettings(String service, String failureDomain, int capacity, int coldLimit, double tokenMillis,
		int prefillMillis, int cacheEntries, long coldMillis, long loadMillis, long reportLagMillis,
		boolean checksFence) {

	/**
	 * Returns settings of a fast engine.
	 * @param service the service
	 * @param failureDomain the failure domain
	 * @return 16 requests at once, 2 while cold, 2 ms per token, cold for 1 s
	 */
	public static EngineSettings of(String service, String failureDomain) {
		return new EngineSettings(service, failureDomain, 16, 2, 2, 0, 64, 1_000, 100, 50, true);
	}

	/**
	 * Returns these settings with another cold start.
	 * @param limit requests at once while cold
	 * @param millis length of the cold period
	 * @return new settings
	 */
	public EngineSettings withColdStart(int limit, long millis) {
		return new EngineSettings(this.service, this.failureDomain, this.capacity, limit, this.tokenMillis,
				this.prefillMillis, this.cacheEntries, millis, this.loadMillis, this.reportLagMillis, this.checksFence);
	}

	/**
	 * Returns these settings with another speed.
	 * @param concurrentRequests requests at once
	 * @param millisPerToken time per token
	 * @return new settings
	 */
	public EngineSettings withSpeed(int concurrentRequests, double millisPerToken) {
		return new EngineSettings(this.service, this.failureDomain, concurrentRequests, this.coldLimit, millisPerToken,
				this.prefillMillis, this.cacheEntries, this.coldMillis, this.loadMillis, this.reportLagMillis,
				this.checksFence);
	}

	/**
	 * Returns these settings with another loading time.
	 * @param millis time to load weights after their last byte
	 * @return new settings
	 */
	public EngineSettings withLoadTime(long millis) {
		return new EngineSettings(this.service, this.failureDomain, this.capacity, this.coldLimit, this.tokenMillis,
				this.prefillMillis, this.cacheEntries, this.coldMillis, millis, this.reportLagMillis, this.checksFence);
	}

	/**
	 * Returns these settings with or without the check of fencing tokens.
	 * @param checks whether outdated fencing tokens are refused
	 * @return new settings
	 */
	public EngineSettings withFenceCheck(boolean checks) {
		return new EngineSettings(this.service, this.failureDomain, this.capacity, this.coldLimit, this.tokenMillis,
				this.prefillMillis, this.cacheEntries, this.coldMillis, this.loadMillis, this.reportLagMillis, checks);
	}

}
