package org.baobabknot.placement;

/**
 * Result of choosing a target for a request.
 */
public sealed interface PlacementResult {

	/**
	 * The request is sent to a target.
	 *
	 * @param candidate the target
	 * @param predictedMs predicted time to the first byte, in ms
	 */
	record TargetChosen(Candidate candidate, double predictedMs) implements PlacementResult {
	}

	/**
	 * The request is refused because its response would be late at every target.
	 *
	 * @param waitMs predicted time until the least busy target has a free slot, in ms
	 */
	record TargetsBusy(double waitMs) implements PlacementResult {
	}

	/**
	 * The request is refused because all targets have asked for a rest.
	 *
	 * @param waitMs time until the first of them accepts requests again, in ms
	 */
	record TargetsResting(long waitMs) implements PlacementResult {
	}

	/**
	 * The request is refused because the targets state limits that are used up.
	 *
	 * @param waitMs time until one of them may take a request, in ms
	 */
	record LimitsReached(double waitMs) implements PlacementResult {
	}

	/**
	 * The request may be sent to no target.
	 */
	record NoTarget() implements PlacementResult {
	}

}
