package org.baobabknot.distribution;

/**
 * Times of a new version on its way to the engines, as far as links and the pace of the
 * engines decide them. Answers the load of live requests during a change of version: an
 * engine takes no new ones from its order until it runs the version, so the orders are
 * spread over the time there is.
 *
 * @param fetchMs time in which a version reaches all members over their links, in ms
 * @param loadMs time that an engine takes to load a version, in ms
 * @param mandatoryAfterMs time after its naming at which a version is binding, in ms
 */
public record LoadTiming(double fetchMs, double loadMs, double mandatoryAfterMs) {

	/**
	 * Time for a version to reach all members, as a multiple of the time for one copy on
	 * a member's link, as the simulation of the links in the tests shows.
	 */
	private static final double FETCH_TIME_RATIO = 1.25;

	/**
	 * Time kept between the last order and the bound, in ms: that in which gateways give
	 * older versions no requests any more.
	 */
	private static final double SWITCH_MARGIN_MS = 800;

	/**
	 * Creates the times for members with equal links.
	 * @param versionBytes size of a version
	 * @param linkBytesPerSecond rate of a member's link
	 * @param loadMs time that an engine takes to load a version, in ms
	 * @param mandatoryAfterMs time after its naming at which a version is binding, in ms
	 * @return the times
	 */
	public static LoadTiming of(double versionBytes, double linkBytesPerSecond, double loadMs,
			double mandatoryAfterMs) {
		return new LoadTiming(versionBytes * 1_000 / linkBytesPerSecond * FETCH_TIME_RATIO, loadMs, mandatoryAfterMs);
	}

	/**
	 * Returns when an engine is ordered to load: from the time at which all members can
	 * hold the version until shortly before it is binding. The last engines run it only
	 * some time after that, but a shorter spread would take more of them away at once.
	 * @param rank place of the engine in the order of the fleet, from 0
	 * @param engines engines of the fleet
	 * @return time after the version was named, in ms
	 */
	public double loadDueMs(int rank, int engines) {
		double lastDueMs = Math.max(this.fetchMs, this.mandatoryAfterMs - SWITCH_MARGIN_MS);
		return this.fetchMs + (lastDueMs - this.fetchMs) * rank / Math.max(1, engines - 1);
	}

	/**
	 * Returns the choice between a version and a newer one.
	 * @return the choice
	 */
	public VersionSkipPolicy skipPolicy() {
		return new VersionSkipPolicy(this.fetchMs, this.loadMs + SWITCH_MARGIN_MS, this.mandatoryAfterMs);
	}

}
