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
 * Chunks that members have said they hold, and those that are on their way from them.
 * Confined to one thread.
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
	 * Drops what a member offered.
	 * @param query the question that it answered
	 * @return whether it had offered anything
	 */
	boolean remove(Query query) {
		return this.offers.remove(query) != null;
	}

	/**
	 * Drops chunks that are not wanted any more.
	 * @param unneeded which those are
	 * @return the questions of whose answers nothing is left
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
	 * Chooses the next chunk: one for which others of the domain wait before the rest,
	 * then one of the member that sends the fewest to this one now.
	 * @param urgent for which chunks others wait
	 * @return the chunk, or nothing when all that is offered is on its way
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
	 * One of the questions to a member that are open at once.
	 *
	 * @param member the member
	 * @param number which of them it is
	 */
	record Query(Peer member, int number) {
	}

	/**
	 * A chunk to ask for.
	 *
	 * @param query the question whose answer offered it
	 * @param index number of the chunk
	 */
	record OfferedChunk(Query query, int index) {
	}

}
