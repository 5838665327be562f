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

	private final Map<Lane, List<Integer>> offers = new LinkedHashMap<>();

	private final BitSet onTheWay = new BitSet();

	private final Map<Peer, Integer> sending = new HashMap<>();

	void add(Lane lane, Collection<Integer> indices) {
		this.offers.put(lane, new ArrayList<>(indices));
	}

	boolean contains(Lane lane) {
		return this.offers.containsKey(lane);
	}

	boolean onTheWay(int index) {
		return this.onTheWay.get(index);
	}

	/**
	 * Drops what a member offered.
	 * @param lane the question that it answered
	 * @return whether it had offered anything
	 */
	boolean withdraw(Lane lane) {
		return this.offers.remove(lane) != null;
	}

	/**
	 * Drops chunks that are not wanted any more.
	 * @param needless which those are
	 * @return the questions of whose answers nothing is left
	 */
	List<Lane> drop(IntPredicate needless) {
		List<Lane> empty = new ArrayList<>();
		this.offers.forEach((lane, offered) -> {
			offered.removeIf((index) -> this.onTheWay.get(index) || needless.test(index));
			if (offered.isEmpty()) {
				empty.add(lane);
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
	Optional<Choice> best(IntPredicate urgent) {
		return this.offers.entrySet()
			.stream()
			.flatMap((offer) -> offer.getValue()
				.stream()
				.filter((index) -> !this.onTheWay.get(index))
				.min(Comparator.comparing((index) -> !urgent.test(index)))
				.map((index) -> new Choice(offer.getKey(), index))
				.stream())
			.min(Comparator.comparing((Choice choice) -> !urgent.test(choice.index()))
				.thenComparing((choice) -> this.sending.getOrDefault(choice.lane().member(), 0)));
	}

	void started(Choice choice) {
		this.onTheWay.set(choice.index());
		this.sending.merge(choice.lane().member(), 1, Integer::sum);
	}

	void ended(Lane lane, int index) {
		this.onTheWay.clear(index);
		this.sending.merge(lane.member(), -1, Integer::sum);
	}

	/**
	 * One of the questions to a member that are open at once.
	 *
	 * @param member the member
	 * @param number which of them it is
	 */
	record Lane(Peer member, int number) {
	}

	/**
	 * A chunk to ask for.
	 *
	 * @param lane the question whose answer offered it
	 * @param index number of the chunk
	 */
	record Choice(Lane lane, int index) {
	}

}
