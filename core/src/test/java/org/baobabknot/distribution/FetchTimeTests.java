package org.baobabknot.distribution;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Checks the time of a fetch by 100 replicas against the bound of the design page.
 */
class FetchTimeTests {

	private static final int CHUNKS = 64;

	private static final int REPLICAS = 100;

	// Guards against a rollout that takes more than 1.4 times its lower bound because of
	// the fetch alone.
	@Test
	void fetchesWithinTheBoundOfARollout() {
		SwarmSimulation swarm = new SwarmSimulation(SwarmSimulation.Scenario.withoutFaults(REPLICAS, CHUNKS, false), 1);
		double copyTime = CHUNKS * SwarmSimulation.STEPS_PER_CHUNK;
		double ratio = swarm.run(FaultySwarm.MAX_STEPS) / copyTime;
		assertThat("seed 1, N=100: copy times", ratio, lessThanOrEqualTo(1.4));
	}

}
