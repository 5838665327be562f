package org.baobabknot.placement;

/**
 * Weights of the placement, all in ms of predicted waiting time.
 *
 * @param otherDomainMs price of another failure domain in the same region
 * @param otherRegionMs price of another region, where thin links are shared
 * @param fullTargetMs price of a full target compared with an empty one
 * @param failureMs price of a target all of whose requests fail
 * @param noiseMs random part, which keeps processes with the same knowledge from choosing
 * the same target
 * @param avoidedMs price of a target that recently refused or was silent
 * @param coldMs price of a cold target
 */
public record PlacementSettings(double otherDomainMs, double otherRegionMs, double fullTargetMs, double failureMs,
		double noiseMs, double avoidedMs, double coldMs) {

	/**
	 * Returns the weights for fleets whose requests last about a second.
	 * @return the settings
	 */
	public static PlacementSettings defaults() {
		return new PlacementSettings(30, 100, 80, 1_500, 15, 2_500, 40);
	}

}
