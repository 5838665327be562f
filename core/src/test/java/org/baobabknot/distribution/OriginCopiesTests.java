package org.baobabknot.distribution;

import org.baobabknot.simulation.Schedules;
import org.junit.jupiter.api.Test;

/**
 * Checks the limit on copies from the origin under faults.
 */
class OriginCopiesTests {

	// Guards against an overloaded origin when an agent dies, a failure domain is
	// temporarily cut off and chunks are corrupt.
	@Test
	void fetchesAtMostTwoCopiesWithFaults() {
		Schedules.runAll((seed) -> FaultySwarm.describeViolation(FaultySwarm.withFaults(seed), 2));
	}

}
