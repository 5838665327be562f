package org.baobabknot.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests for {@link AgentSubset}.
 */
class AgentSubsetTests {

	private static final List<String> DOMAINS = List.of("a", "b", "c");

	private static List<Instance> instances(String kind, int perDomain) {
		List<Instance> nodes = new ArrayList<>();
		for (String domain : DOMAINS) {
			for (int i = 0; i < perDomain; i++) {
				nodes.add(new Instance(kind + "-" + domain + "-" + i, domain));
			}
		}
		return nodes;
	}

	@Nested
	class Agreement {

		// Guards against an entry that does not connect to an agent that selected it.
		@Test
		void entryConnectsToEachAgentThatSelectsIt() {
			List<Instance> entries = instances("entry", 10);
			List<Instance> agents = instances("agent", 40);
			for (Instance agent : agents) {
				Set<String> chosen = AgentSubset.entriesFor(agent, entries);
				assertThat(chosen, hasSize(6));
				for (Instance entry : entries) {
					if (chosen.contains(entry.name())) {
						assertThat(AgentSubset.agentsFor(entry, entries, agents), hasItem(agent.name()));
					}
				}
			}
		}

	}

	@Nested
	class Size {

		// Guards against connections that grow with the fleet.
		@Test
		void sizeDependsOnTheRatioOnly() {
			int small = connections(6, 60);
			int large = connections(60, 600);
			assertThat((double) large, lessThan(1.5 * small));
		}

		// Guards against an entry with too few agents to choose from.
		@Test
		void sizeIsAtLeastTheMinimum() {
			assertThat(connections(100, 20), greaterThanOrEqualTo(12));
		}

		private int connections(int entriesPerDomain, int agentsPerDomain) {
			List<Instance> entries = instances("entry", entriesPerDomain);
			return AgentSubset.agentsFor(entries.get(0), entries, instances("agent", agentsPerDomain)).size();
		}

	}

}
