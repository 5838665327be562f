package org.baobabknot.distribution;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Checks the time in which 100 replicas fetch a version against the limit on the design
 * page.
 */
class FetchTimeTests {

	private static final int CHUNKS = 64;

	private static final int REPLICAS = 100;

	// Guards against a fetch that alone makes a rollout take more than 1.4 times its
	// lower bound.
	@Test
	void fetchesWithinTheBoundOfARollout() {
		SwarmSimulation swarm = new SwarmSimulation(SwarmSimulation.Scenario.withoutFaults(REPLICAS, CHUNKS, false), 1);
		double copyTime = CHUNKS * SwarmSimulation.STEPS_PER_CHUNK;
		double ratio = swarm.run(FaultySwarm.MAX_STEPS) / copyTime;
		assertThat("seed 1, N=100: copy times", ratio, lessThanOrEqualTo(1.4));
	}

}
