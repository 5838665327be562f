package org.baobabknot.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.baobabknot.hashing.RendezvousHash;

/**
 * Selects which entries connect to which agents by rendezvous hashing. The selection
 * depends on names only, so processes with the same member list agree on it. The number
 * of connections of a process depends on the ratio of agents to entries and not on the
 * size of the fleet.
 */
public final class AgentSubset {

	private static final int ENTRIES_IN_OWN_DOMAIN = 4;

	private static final int ENTRIES_IN_OTHER_DOMAINS = 1;

	private static final int AGENTS_IN_OWN_DOMAIN = 8;

	private static final int AGENTS_IN_OTHER_DOMAINS = 2;

	private AgentSubset() {
	}

	/**
	 * Returns the entries that an agent selects: the 4 highest-ranked entries of its own
	 * failure domain and 1 of each other one. These entries connect to the agent.
	 * @param agent the agent
	 * @param entries all live entries
	 * @return names of entries
	 */
	public static Set<String> entriesFor(Instance agent, Collection<Instance> entries) {
		return ranked(agent, entries, ENTRIES_IN_OWN_DOMAIN, ENTRIES_IN_OTHER_DOMAINS);
	}

	/**
	 * Returns the agents of one service that an entry connects to: those that select the
	 * entry, and at least the 8 highest-ranked agents of its own failure domain and 2 of
	 * each other one.
	 * @param entry the entry
	 * @param entries all live entries, including this one
	 * @param agents all live agents of the service
	 * @return names of agents
	 */
	public static Set<String> agentsFor(Instance entry, Collection<Instance> entries, Collection<Instance> agents) {
		Set<String> chosen = ranked(entry, agents, AGENTS_IN_OWN_DOMAIN, AGENTS_IN_OTHER_DOMAINS);
		Map<String, List<Instance>> entriesByDomain = byDomain(entries);
		List<Instance> peers = entriesByDomain.getOrDefault(entry.failureDomain(), List.of());
		for (Instance agent : agents) {
			boolean inOwnDomain = agent.failureDomain().equals(entry.failureDomain());
			int count = inOwnDomain ? ENTRIES_IN_OWN_DOMAIN : ENTRIES_IN_OTHER_DOMAINS;
			if (isAmongFirst(entry, agent, peers, count)) {
				chosen.add(agent.name());
			}
		}
		return chosen;
	}

	// An agent selects a fixed number of entries of each failure domain, so that an entry
	// is compared with the entries of its own domain only.
	private static boolean isAmongFirst(Instance entry, Instance agent, List<Instance> peers, int count) {
		long ownScore = RendezvousHash.score(agent.name(), entry.name());
		int higherRanked = 0;
		for (Instance peer : peers) {
			if (peer.name().equals(entry.name())) {
				continue;
			}
			int byScore = Long.compareUnsigned(RendezvousHash.score(agent.name(), peer.name()), ownScore);
			if (byScore > 0 || (byScore == 0 && peer.name().compareTo(entry.name()) < 0)) {
				higherRanked++;
				if (higherRanked >= count) {
					return false;
				}
			}
		}
		return true;
	}

	private static Set<String> ranked(Instance key, Collection<Instance> nodes, int inOwnDomain, int inOtherDomains) {
		Set<String> chosen = new HashSet<>();
		byDomain(nodes).forEach((domain, members) -> {
			int count = domain.equals(key.failureDomain()) ? inOwnDomain : inOtherDomains;
			RendezvousHash.rank(key.name(), members, Instance::name)
				.stream()
				.limit(count)
				.forEach((node) -> chosen.add(node.name()));
		});
		return chosen;
	}

	private static Map<String, List<Instance>> byDomain(Collection<Instance> nodes) {
		Map<String, List<Instance>> byDomain = new TreeMap<>();
		for (Instance node : nodes) {
			byDomain.computeIfAbsent(node.failureDomain(), (domain) -> new ArrayList<>()).add(node);
		}
		return byDomain;
	}

}
