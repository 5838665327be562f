package org.baobabknot.distribution;

import org.baobabknot.simulation.Schedules;
import org.junit.jupiter.api.Test;

/**
 * Checks the bound on copies from the origin under faults.
 */
class OriginCopiesTests {

	// Guards against an overloaded origin when a fetcher dies, a domain is cut off for a
	// while and chunks are corrupt.
	@Test
	void fetchesAtMostTwoCopiesWithFaults() {
		Schedules.runAll((seed) -> FaultySwarm.check(FaultySwarm.withFaults(seed), 2));
	}

}
