package org.baobabknot.standin.engine;

/**
 * Settings of an engine stand-in.
 *
 * @param service the service
 * @param failureDomain the failure domain, written to the record
 * @param capacity maximum number of concurrent requests; further requests are queued
 * @param coldLimit maximum number of concurrent requests while the engine is cold; more
 * make it crash
 * @param tokenMillis time per token in milliseconds
 * @param prefillMillis time in milliseconds before the first token, 0 when the prefix of
 * the prompt is cached
 * @param cacheEntries maximum number of cached prompt prefixes
 * @param coldMillis time in milliseconds from a start or load until the engine is warm
 * @param loadMillis time in milliseconds to load weights after their last byte
 * @param reportLagMillis maximum age of the reported load in milliseconds
 * @param checksFence whether the engine refuses an outdated fencing token
 */
public record EngineSettings(String service, String failureDomain, int capacity, int coldLimit, double tokenMillis,
		int prefillMillis, int cacheEntries, long coldMillis, long loadMillis, long reportLagMillis,
		boolean checksFence) {

	/**
	 * Returns settings of a fast engine.
	 * @param service the service
	 * @param failureDomain the failure domain
	 * @return 16 concurrent requests, 2 while cold, 2 ms per token, cold for 1 s
	 */
	public static EngineSettings of(String service, String failureDomain) {
		return new EngineSettings(service, failureDomain, 16, 2, 2, 0, 64, 1_000, 100, 50, true);
	}

	/**
	 * Returns a copy of these settings with a different cold limit and cold period.
	 * @param limit maximum number of concurrent requests while cold
	 * @param millis length of the cold period in milliseconds
	 * @return new settings
	 */
	public EngineSettings withColdStart(int limit, long millis) {
		return new EngineSettings(this.service, this.failureDomain, this.capacity, limit, this.tokenMillis,
				this.prefillMillis, this.cacheEntries, millis, this.loadMillis, this.reportLagMillis, this.checksFence);
	}

	/**
	 * Returns a copy of these settings with a different capacity and speed.
	 * @param concurrentRequests maximum number of concurrent requests
	 * @param millisPerToken time per token in milliseconds
	 * @return new settings
	 */
	public EngineSettings withSpeed(int concurrentRequests, double millisPerToken) {
		return new EngineSettings(this.service, this.failureDomain, concurrentRequests, this.coldLimit, millisPerToken,
				this.prefillMillis, this.cacheEntries, this.coldMillis, this.loadMillis, this.reportLagMillis,
				this.checksFence);
	}

	/**
	 * Returns a copy of these settings with a different loading time.
	 * @param millis time in milliseconds to load weights after their last byte
	 * @return new settings
	 */
	public EngineSettings withLoadTime(long millis) {
		return new EngineSettings(this.service, this.failureDomain, this.capacity, this.coldLimit, this.tokenMillis,
				this.prefillMillis, this.cacheEntries, this.coldMillis, millis, this.reportLagMillis, this.checksFence);
	}

	/**
	 * Returns a copy of these settings with the check of fencing tokens enabled or
	 * disabled.
	 * @param checks whether outdated fencing tokens are refused
	 * @return new settings
	 */
	public EngineSettings withFenceCheck(boolean checks) {
		return new EngineSettings(this.service, this.failureDomain, this.capacity, this.coldLimit, this.tokenMillis,
				this.prefillMillis, this.cacheEntries, this.coldMillis, this.loadMillis, this.reportLagMillis, checks);
	}

}
