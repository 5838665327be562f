package org.baobabknot.distribution;

import java.util.Arrays;
import java.util.random.RandomGenerator;

import org.baobabknot.simulation.Schedules;

/**
 * Swarms in which a fetcher dies, a domain is cut off for a while and chunks are corrupt.
 */
final class FaultySwarm {

	static final int LIMIT = 6_000;

	static String check(SwarmSimulation swarm, double mostCopies) {
		if (swarm.run(LIMIT) < 0) {
			return "not all agents finished: " + swarm.describe();
		}
		for (SwarmSimulation.Agent agent : swarm.agents) {
			if (agent.alive && !Arrays.equals(agent.whole(), swarm.contents.get(agent.version))) {
				return "agent %d mixed versions".formatted(agent.index);
			}
		}
		return (swarm.originCopies() <= mostCopies) ? "" : "%.2f copies from the origin by %d agents in %d steps"
			.formatted(swarm.originCopies(), swarm.agents.size(), swarm.step);
	}

	static SwarmSimulation withFaults(long seed) {
		RandomGenerator random = Schedules.createRandom(seed);
		int agents = random.nextInt(4, 10);
		int victim = random.nextInt(agents);
		int killAt = random.nextInt(1, 60);
		int restartAt = random.nextBoolean() ? killAt + random.nextInt(1, 200) : Integer.MAX_VALUE;
		SwarmSimulation.Faults faults = (swarm) -> {
			if (swarm.step == killAt) {
				swarm.agents.get(victim).alive = false;
			}
			else if (swarm.step == restartAt) {
				swarm.agents.get(victim).restart();
			}
		};
		int cutFrom = random.nextInt(1, 60);
		SwarmSimulation.Scenario scenario = new SwarmSimulation.Scenario(agents, 10, 1, 0.05, 0.2, 20,
				random.nextInt(3), cutFrom, cutFrom + random.nextInt(1, 200), false, faults);
		return new SwarmSimulation(scenario, seed);
	}

	private FaultySwarm() {
	}

}
