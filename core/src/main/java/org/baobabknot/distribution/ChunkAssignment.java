package org.baobabknot.distribution;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import org.baobabknot.hashing.RendezvousHash;
import org.jspecify.annotations.Nullable;

/**
 * Assigns the chunks of a version to the live agents by rendezvous hashing. The ranks of
 * a chunk are computed on first use.
 */
final class ChunkAssignment {

	/**
	 * Origin fetchers per chunk from which other agents request it; further ones are
	 * rarely needed.
	 */
	private static final int MAX_FETCHERS = 3;

	private final String digest;

	private final Peer self;

	private final List<Peer> agents;

	private final List<Peer> domainFetchers;

	private final TreeMap<String, List<Peer>> regionDomainFetchers = new TreeMap<>();

	private final @Nullable Ranks[] ranks;

	ChunkAssignment(String digest, int chunks, Peer self, Collection<Peer> live) {
		this.digest = digest;
		this.self = self;
		this.agents = new ArrayList<>(live);
		if (live.stream().noneMatch((peer) -> peer.instance().equals(self.instance()))) {
			this.agents.add(self);
		}
		this.ranks = new Ranks[chunks];
		this.domainFetchers = rankDomainFetchers(self.domain());
		this.agents.stream()
			.filter((peer) -> peer.region().equals(self.region()))
			.map(Peer::domain)
			.distinct()
			.forEach((domain) -> this.regionDomainFetchers.put(domain, rankDomainFetchers(domain)));
	}

	private List<Peer> rankDomainFetchers(String domain) {
		List<Peer> members = this.agents.stream().filter((peer) -> peer.domain().equals(domain)).toList();
		return RendezvousHash.rank(this.digest + " gateway", members, Peer::instance);
	}

	int agents() {
		return this.agents.size();
	}

	private Ranks ranks(int index) {
		Ranks cached = this.ranks[index];
		if (cached == null) {
			cached = rank(index);
			this.ranks[index] = cached;
		}
		return cached;
	}

	private Ranks rank(int index) {
		List<Peer> order = RendezvousHash.rank(key(index), this.agents, Peer::instance);
		int inDomain = 0;
		int inFleet = 0;
		for (Peer peer : order) {
			if (peer.instance().equals(this.self.instance())) {
				break;
			}
			inFleet++;
			inDomain += peer.domain().equals(this.self.domain()) ? 1 : 0;
		}
		return new Ranks(order.subList(0, Math.min(MAX_FETCHERS, order.size())), inFleet, inDomain);
	}

	private String key(int index) {
		return this.digest + " " + index;
	}

	// Returns the agents that fetch a chunk from the origin, in order of rank.
	List<Peer> originFetchers(int index) {
		return ranks(index).fetchers();
	}

	// Returns how many agents rank before this one for fetching a chunk from the origin.
	int originRankInFleet(int index) {
		return ranks(index).inFleet();
	}

	// Returns how many agents of this agent's failure domain rank before it for fetching
	// a chunk from the origin.
	int originRankInDomain(int index) {
		return ranks(index).inDomain();
	}

	// Returns how many agents rank before this one for fetching a chunk into the failure
	// domain. The first two domain fetchers share the chunks.
	int domainFetcherRank(int index) {
		int position = 0;
		while (!this.domainFetchers.get(position).instance().equals(this.self.instance())) {
			position++;
		}
		return (position < 2 && this.domainFetchers.size() > 1) ? position ^ (index & 1) : position;
	}

	// Returns the domain fetcher that fetches a chunk into this agent's region, if it is
	// in another failure domain. With one such fetcher per chunk, a chunk crosses the
	// link between regions once.
	Optional<Peer> regionalSource(int index) {
		if (this.regionDomainFetchers.size() < 2 || originFetchers(index).get(0).region().equals(this.self.region())) {
			return Optional.empty();
		}
		String domain = RendezvousHash.first(key(index), this.regionDomainFetchers.keySet(), (name) -> name)
			.orElseThrow();
		if (domain.equals(this.self.domain())) {
			return Optional.empty();
		}
		List<Peer> candidates = this.regionDomainFetchers.get(domain);
		return Optional.of(candidates.get((candidates.size() > 1) ? index & 1 : 0));
	}

	boolean inOwnDomain(String instance) {
		return this.domainFetchers.stream().anyMatch((peer) -> peer.instance().equals(instance));
	}

	// Returns the agents of this agent's failure domain with which it exchanges bitmaps:
	// the next one in order of name, which keeps the graph connected, and others by hash.
	List<String> neighbours(int limit) {
		List<String> names = new ArrayList<>(this.domainFetchers.stream().map(Peer::instance).sorted().toList());
		int position = names.indexOf(this.self.instance());
		String next = names.get((position + 1) % names.size());
		names.remove(this.self.instance());
		names.remove(next);
		List<String> chosen = new ArrayList<>();
		if (!next.equals(this.self.instance())) {
			chosen.add(next);
		}
		List<String> others = RendezvousHash.rank(this.digest + " " + this.self.instance(), names, (name) -> name);
		chosen.addAll(others.subList(0, Math.min(Math.max(0, limit - chosen.size()), others.size())));
		return chosen;
	}

	private record Ranks(List<Peer> fetchers, int inFleet, int inDomain) {
	}

}
