package org.baobabknot.placement;

/**
 * Where a request goes.
 */
public sealed interface PlacementResult {

	/**
	 * The request is sent to a target.
	 *
	 * @param candidate the target
	 * @param predictedMs predicted time to the first byte
	 */
	record TargetChosen(Candidate candidate, double predictedMs) implements PlacementResult {
	}

	/**
	 * All targets are so busy that the answer would be late.
	 *
	 * @param waitMs predicted time until the least busy target has room
	 */
	record TargetsBusy(double waitMs) implements PlacementResult {
	}

	/**
	 * There is no target that may get the request.
	 */
	record NoTarget() implements PlacementResult {
	}

}
