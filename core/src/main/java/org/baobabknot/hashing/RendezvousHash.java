package org.baobabknot.hashing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Ranks nodes for a key by highest random weight. The ranking depends only on the key and
 * the names, and removing one node leaves the order of the others unchanged.
 */
public final class RendezvousHash {

	private RendezvousHash() {
	}

	/**
	 * Returns the weight of a node for a key.
	 * @param key the key to place
	 * @param node the name of the node
	 * @return the weight, to be compared as an unsigned number
	 */
	public static long score(String key, String node) {
		HashStream64 stream = Hashing.xxh3_64().hashStream();
		return stream.putString(key).putString(node).getAsLong();
	}

	/**
	 * Ranks nodes for a key, best first. Equal weights are ordered by name.
	 * @param key the key to place
	 * @param nodes the candidates
	 * @param name the name of a candidate
	 * @param <T> the type of the candidates
	 * @return a new list with all candidates in order of rank
	 */
	public static <T> List<T> rank(String key, Collection<T> nodes, Function<T, String> name) {
		List<ScoredNode<T>> scored = new ArrayList<>(nodes.size());
		for (T node : nodes) {
			String nodeName = name.apply(node);
			scored.add(new ScoredNode<>(node, nodeName, score(key, nodeName)));
		}
		scored.sort(ScoredNode.order());
		List<T> ranked = new ArrayList<>(scored.size());
		for (ScoredNode<T> entry : scored) {
			ranked.add(entry.node());
		}
		return ranked;
	}

	/**
	 * Returns the highest-ranked node for a key.
	 * @param key the key to place
	 * @param nodes the candidates
	 * @param name the name of a candidate
	 * @param <T> the type of the candidates
	 * @return the highest-ranked candidate, or empty when there is none
	 */
	public static <T> Optional<T> first(String key, Collection<T> nodes, Function<T, String> name) {
		ScoredNode<T> best = null;
		for (T node : nodes) {
			String nodeName = name.apply(node);
			ScoredNode<T> candidate = new ScoredNode<>(node, nodeName, score(key, nodeName));
			if (best == null || ScoredNode.<T>order().compare(candidate, best) < 0) {
				best = candidate;
			}
		}
		return Optional.ofNullable(best).map(ScoredNode::node);
	}

	private record ScoredNode<T>(T node, String name, long score) {

		static <T> Comparator<ScoredNode<T>> order() {
			return (left, right) -> {
				int byScore = Long.compareUnsigned(right.score(), left.score());
				return (byScore != 0) ? byScore : left.name().compareTo(right.name());
			};
		}

	}

}
