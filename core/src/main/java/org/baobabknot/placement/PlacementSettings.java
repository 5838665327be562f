package org.baobabknot.placement;

/**
 * Weights of {@link Placement}. A penalty is added to the predicted time to the first
 * byte of a target when targets are compared; all are in ms.
 *
 * @param otherDomainMs penalty of another failure domain in the same region
 * @param otherRegionMs penalty of another region, which is reached over shared links of
 * low bandwidth
 * @param fullTargetMs penalty of a target whose slots are all in use; proportionally less
 * for fewer requests
 * @param failureMs penalty of a target all of whose requests fail
 * @param noiseMs upper bound of a random penalty, which keeps processes with the same
 * load reports from choosing the same target
 * @param avoidedMs penalty of a target that recently refused connections, was silent or
 * does not accept requests
 * @param coldMs penalty of a cold target
 */
public record PlacementSettings(double otherDomainMs, double otherRegionMs, double fullTargetMs, double failureMs,
		double noiseMs, double avoidedMs, double coldMs) {

	/**
	 * Returns the default weights, for requests that take about one second.
	 * @return the settings
	 */
	public static PlacementSettings defaults() {
		return new PlacementSettings(30, 100, 80, 1_500, 15, 2_500, 40);
	}

}
