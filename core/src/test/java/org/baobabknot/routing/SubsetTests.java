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
 * Tests for {@link Subset}.
 */
class SubsetTests {

	private static final List<String> DOMAINS = List.of("a", "b", "c");

	private static List<Node> nodes(String kind, int perDomain) {
		List<Node> nodes = new ArrayList<>();
		for (String domain : DOMAINS) {
			for (int i = 0; i < perDomain; i++) {
				nodes.add(new Node(kind + "-" + domain + "-" + i, domain));
			}
		}
		return nodes;
	}

	@Nested
	class Agreement {

		// Guards against an agent that waits for an entry that does not connect.
		@Test
		void entryConnectsToEachAgentThatChoosesIt() {
			List<Node> entries = nodes("entry", 10);
			List<Node> agents = nodes("agent", 40);
			for (Node agent : agents) {
				Set<String> chosen = Subset.entriesFor(agent, entries);
				assertThat(chosen, hasSize(6));
				for (Node entry : entries) {
					if (chosen.contains(entry.name())) {
						assertThat(Subset.agentsFor(entry, entries, agents), hasItem(agent.name()));
					}
				}
			}
		}

	}

	@Nested
	class Size {

		// Guards against connections that grow with the fleet.
		@Test
		void dependsOnTheRatioOnly() {
			int small = connections(6, 60);
			int large = connections(60, 600);
			assertThat((double) large, lessThan(1.5 * small));
		}

		// Guards against an entry with too few agents to choose from.
		@Test
		void isAtLeastTheMinimum() {
			assertThat(connections(100, 20), greaterThanOrEqualTo(12));
		}

		private int connections(int entriesPerDomain, int agentsPerDomain) {
			List<Node> entries = nodes("entry", entriesPerDomain);
			return Subset.agentsFor(entries.get(0), entries, nodes("agent", agentsPerDomain)).size();
		}

	}

}
