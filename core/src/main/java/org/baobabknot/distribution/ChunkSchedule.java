package org.baobabknot.distribution;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Assigns the chunks of one version to the known members of a fleet. One member fetches
 * each chunk from the origin, one member of each other failure domain fetches it from
 * there, and the rest of the domain fetches it from that one. Chunks are assigned round
 * robin, so that all members send and receive nearly the same number; a random assignment
 * would load some of them half as much again. Immutable.
 */
public final class ChunkSchedule {

	private final Peer self;

	private final List<Peer> fleetMembers;

	private final List<Peer> domainMembers;

	/**
	 * Creates a schedule.
	 * @param self this member
	 * @param members all members, with or without this one
	 */
	public ChunkSchedule(Peer self, Collection<Peer> members) {
		this.self = self;
		List<Peer> all = new ArrayList<>(members);
		all.removeIf((peer) -> peer.instance().equals(self.instance()));
		all.add(self);
		all.sort(Comparator.comparing(Peer::instance));
		this.fleetMembers = List.copyOf(all);
		this.domainMembers = membersOf(self.domain());
	}

	/**
	 * Returns whether this member fetches a chunk from the origin.
	 * @param index the chunk
	 * @return true for one member of the fleet
	 */
	public boolean fetchesFromOrigin(int index) {
		return originFetcher(index).equals(this.self);
	}

	/**
	 * Returns whether this member fetches a chunk into its failure domain.
	 * @param index the chunk
	 * @return true for one member of the domain
	 */
	public boolean fetchesIntoDomain(int index) {
		return domainFetcher(index).equals(this.self);
	}

	/**
	 * Returns the members from which this member fetches a chunk.
	 * @param index the chunk
	 * @return sources in order of preference, without the origin
	 */
	public List<Peer> sources(int index) {
		List<Peer> sources = new ArrayList<>();
		addSource(sources, domainFetcher(index));
		addSource(sources, originFetcher(index));
		for (int step = 1; step < this.domainMembers.size(); step++) {
			addSource(sources, this.domainMembers.get((index + step) % this.domainMembers.size()));
		}
		for (int step = 1; step < this.fleetMembers.size(); step++) {
			addSource(sources, this.fleetMembers.get((index + step) % this.fleetMembers.size()));
		}
		return sources;
	}

	/**
	 * Returns the member that fetches a chunk into the failure domain of this member.
	 * @param index the chunk
	 * @return the member, which may be this one
	 */
	public Peer domainFetcher(int index) {
		return selectDomainFetcher(index, this.domainMembers, this.self.domain());
	}

	/**
	 * Returns the order in which members of this member's failure domain take over
	 * fetching a chunk when those before them cannot fetch it.
	 * @param index the chunk
	 * @return the members of the domain in order, including this one
	 */
	public List<Peer> takeoverOrder(int index) {
		List<Peer> order = new ArrayList<>();
		order.add(domainFetcher(index));
		for (int step = 1; step <= this.domainMembers.size(); step++) {
			Peer next = this.domainMembers.get((index + step) % this.domainMembers.size());
			if (!order.contains(next)) {
				order.add(next);
			}
		}
		return order;
	}

	private void addSource(List<Peer> sources, Peer source) {
		if (!source.equals(this.self) && !sources.contains(source)) {
			sources.add(source);
		}
	}

	/**
	 * Returns the member that fetches a chunk from the origin.
	 * @param index the chunk
	 * @return the member, which may be this one
	 */
	public Peer originFetcher(int index) {
		return this.fleetMembers.get(index % this.fleetMembers.size());
	}

	private Peer selectDomainFetcher(int index, List<Peer> members, String name) {
		Peer fetcher = originFetcher(index);
		if (fetcher.domain().equals(name)) {
			return fetcher;
		}
		return members.get((index + index / this.fleetMembers.size()) % members.size());
	}

	private List<Peer> membersOf(String name) {
		return this.fleetMembers.stream().filter((peer) -> peer.domain().equals(name)).toList();
	}

}
