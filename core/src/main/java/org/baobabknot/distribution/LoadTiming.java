package org.baobabknot.distribution;

/**
 * Computes when engines load a new version, from the rates of links and engines. An
 * engine accepts no requests from its load order until it runs the version, so the orders
 * are spread over the available time to keep capacity for live requests.
 *
 * @param fetchMs time in which a version reaches all members over their links, in ms
 * @param loadMs time that an engine takes to load a version, in ms
 * @param mandatoryAfterMs time from the announcement of a version until it is mandatory,
 * in ms
 */
public record LoadTiming(double fetchMs, double loadMs, double mandatoryAfterMs) {

	/**
	 * Time for a version to reach all members, as a multiple of the time for one copy on
	 * a member's link. The link simulation in the tests gives this ratio.
	 */
	private static final double FETCH_TIME_RATIO = 1.25;

	/**
	 * Time between the last load order and the time at which the version is mandatory, in
	 * ms. During it gateways already send no requests to older versions.
	 */
	private static final double SWITCH_MARGIN_MS = 800;

	/**
	 * Computes the timing for members with equal links.
	 * @param versionBytes size of a version
	 * @param linkBytesPerSecond rate of a member's link
	 * @param loadMs time that an engine takes to load a version, in ms
	 * @param mandatoryAfterMs time from the announcement of a version until it is
	 * mandatory, in ms
	 * @return the timing
	 */
	public static LoadTiming of(double versionBytes, double linkBytesPerSecond, double loadMs,
			double mandatoryAfterMs) {
		return new LoadTiming(versionBytes * 1_000 / linkBytesPerSecond * FETCH_TIME_RATIO, loadMs, mandatoryAfterMs);
	}

	/**
	 * Returns when an engine is ordered to load a version. Orders are spread from the
	 * time at which all members can hold the version until shortly before it is
	 * mandatory. The last engines run it only some time after that, but a shorter spread
	 * would make more of them unavailable at once.
	 * @param rank position of the engine in the order of the fleet, from 0
	 * @param engines number of engines in the fleet
	 * @return time after the announcement of the version, in ms
	 */
	public double loadDueMs(int rank, int engines) {
		double lastDueMs = Math.max(this.fetchMs, this.mandatoryAfterMs - SWITCH_MARGIN_MS);
		return this.fetchMs + (lastDueMs - this.fetchMs) * rank / Math.max(1, engines - 1);
	}

	/**
	 * Returns the policy for skipping a version in favor of a newer one.
	 * @return the policy
	 */
	public VersionSkipPolicy skipPolicy() {
		return new VersionSkipPolicy(this.fetchMs, this.loadMs + SWITCH_MARGIN_MS, this.mandatoryAfterMs);
	}

}
