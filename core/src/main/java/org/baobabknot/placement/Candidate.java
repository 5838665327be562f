package org.baobabknot.placement;

import org.baobabknot.fleet.TargetRecord;

/**
 * A target that a request may be sent to.
 *
 * @param target the target
 * @param load its load and health
 * @param cold whether it is cold, so that the rate of requests to it is limited
 * @param sameDomain whether it is in the failure domain of this process
 * @param sameRegion whether it is in the region of this process
 */
public record Candidate(TargetRecord target, TargetLoad load, boolean cold, boolean sameDomain, boolean sameRegion) {

	/**
	 * Returns whether the target states a limit, so that a request to it needs a permit.
	 * @return whether it does
	 */
	public boolean limited() {
		return this.load.availability().limit().limited();
	}

}
