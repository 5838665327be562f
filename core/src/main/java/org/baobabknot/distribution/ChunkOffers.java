package org.baobabknot.distribution;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntPredicate;

/**
 * Chunks that other members offered in response to queries, and the transfers of chunks
 * that are in flight. Confined to one thread.
 */
final class ChunkOffers {

	private final Map<Query, List<Integer>> offers = new LinkedHashMap<>();

	private final BitSet inFlight = new BitSet();

	private final Map<Peer, Integer> transfersByMember = new HashMap<>();

	void add(Query query, Collection<Integer> indices) {
		this.offers.put(query, new ArrayList<>(indices));
	}

	boolean contains(Query query) {
		return this.offers.containsKey(query);
	}

	boolean inFlight(int index) {
		return this.inFlight.get(index);
	}

	/**
	 * Removes what a member offered in response to a query.
	 * @param query the query
	 * @return whether the member had offered anything
	 */
	boolean remove(Query query) {
		return this.offers.remove(query) != null;
	}

	/**
	 * Removes offered chunks that are in flight or no longer needed.
	 * @param unneeded tests whether a chunk is no longer needed
	 * @return the queries that have no offered chunk left
	 */
	List<Query> removeUnneeded(IntPredicate unneeded) {
		List<Query> empty = new ArrayList<>();
		this.offers.forEach((query, offered) -> {
			offered.removeIf((index) -> this.inFlight.get(index) || unneeded.test(index));
			if (offered.isEmpty()) {
				empty.add(query);
			}
		});
		empty.forEach(this.offers::remove);
		return empty;
	}

	/**
	 * Selects the next chunk to transfer. Chunks that other members of the failure domain
	 * wait for come first, then chunks from the member with the fewest transfers to this
	 * one.
	 * @param urgent tests whether other members wait for a chunk
	 * @return the chunk, or empty when every offered chunk is in flight
	 */
	Optional<OfferedChunk> selectNext(IntPredicate urgent) {
		return this.offers.entrySet()
			.stream()
			.flatMap((offer) -> offer.getValue()
				.stream()
				.filter((index) -> !this.inFlight.get(index))
				.min(Comparator.comparing((index) -> !urgent.test(index)))
				.map((index) -> new OfferedChunk(offer.getKey(), index))
				.stream())
			.min(Comparator.comparing((OfferedChunk chunk) -> !urgent.test(chunk.index()))
				.thenComparing((chunk) -> this.transfersByMember.getOrDefault(chunk.query().member(), 0)));
	}

	void markStarted(OfferedChunk chunk) {
		this.inFlight.set(chunk.index());
		this.transfersByMember.merge(chunk.query().member(), 1, Integer::sum);
	}

	void markEnded(Query query, int index) {
		this.inFlight.clear(index);
		this.transfersByMember.merge(query.member(), -1, Integer::sum);
	}

	/**
	 * One of the concurrent availability queries to a member, which ask which chunks the
	 * member holds.
	 *
	 * @param member the member
	 * @param number number of the query among those to the member, from 0
	 */
	record Query(Peer member, int number) {
	}

	/**
	 * A chunk that a member offered.
	 *
	 * @param query the query in response to which it was offered
	 * @param index number of the chunk
	 */
	record OfferedChunk(Query query, int index) {
	}

}
