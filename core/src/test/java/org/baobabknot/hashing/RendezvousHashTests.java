package org.baobabknot.hashing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link RendezvousHash}.
 */
class RendezvousHashTests {

	private static final List<String> NODES = IntStream.range(0, 10).mapToObj((i) -> "node-" + i).toList();

	@Nested
	class Ranking {

		// Guards against different rankings in processes that list the same members in
		// another order.
		@Test
		void doesNotDependOnTheOrderOfTheNodes() {
			List<String> shuffled = new ArrayList<>(NODES);
			Collections.shuffle(shuffled, new Random(7));
			assertThat(RendezvousHash.rank("key", shuffled, Function.identity()),
					is(RendezvousHash.rank("key", NODES, Function.identity())));
		}

		// Guards against keys that move between the remaining nodes when a node is
		// removed.
		@Test
		void keepsTheOrderOfTheRemainingNodes() {
			List<String> ranked = RendezvousHash.rank("key", NODES, Function.identity());
			List<String> remaining = new ArrayList<>(ranked);
			remaining.remove(3);
			assertThat(RendezvousHash.rank("key", remaining, Function.identity()), is(remaining));
			assertThat(RendezvousHash.first("key", NODES, Function.identity()).orElseThrow(), is(ranked.get(0)));
		}

	}

	@Nested
	class Balance {

		// Guards against a hash whose weights favor some nodes.
		@Test
		void spreadsKeysEvenly() {
			int[] counts = new int[NODES.size()];
			int keys = 20_000;
			for (int key = 0; key < keys; key++) {
				String first = RendezvousHash.first("key-" + key, NODES, Function.identity()).orElseThrow();
				counts[NODES.indexOf(first)]++;
			}
			for (int count : counts) {
				assertThat((double) count, closeTo(keys / 10.0, keys / 100.0));
			}
		}

	}

}
