package org.baobabknot.distribution;

import java.util.Arrays;
import java.util.random.RandomGenerator;

import org.baobabknot.simulation.Schedules;

/**
 * Simulated fleets in which an agent dies, a failure domain is temporarily cut off and
 * chunks are corrupt.
 */
final class FaultySwarm {

	static final int MAX_STEPS = 6_000;

	static String describeViolation(SwarmSimulation swarm, double maxOriginCopies) {
		if (swarm.run(MAX_STEPS) < 0) {
			return "not all agents finished: " + swarm.describe();
		}
		for (SwarmSimulation.Agent agent : swarm.agents) {
			if (agent.alive && !Arrays.equals(agent.assembledContent(), swarm.contents.get(agent.version))) {
				return "agent %d mixed versions".formatted(agent.index);
			}
		}
		return (swarm.originCopies() <= maxOriginCopies) ? "" : "%.2f copies from the origin by %d agents in %d steps"
			.formatted(swarm.originCopies(), swarm.agents.size(), swarm.step);
	}

	static SwarmSimulation withFaults(long seed) {
		RandomGenerator random = Schedules.createRandom(seed);
		int agents = random.nextInt(4, 10);
		int killedAgent = random.nextInt(agents);
		int killStep = random.nextInt(1, 60);
		int restartStep = random.nextBoolean() ? killStep + random.nextInt(1, 200) : Integer.MAX_VALUE;
		SwarmSimulation.Faults faults = (swarm) -> {
			if (swarm.step == killStep) {
				swarm.agents.get(killedAgent).alive = false;
			}
			else if (swarm.step == restartStep) {
				swarm.agents.get(killedAgent).restart();
			}
		};
		int partitionStart = random.nextInt(1, 60);
		SwarmSimulation.Scenario scenario = new SwarmSimulation.Scenario(agents, 10, 1, 0.05, 0.2, 20,
				random.nextInt(3), partitionStart, partitionStart + random.nextInt(1, 200), false, faults);
		return new SwarmSimulation(scenario, seed);
	}

	private FaultySwarm() {
	}

}
