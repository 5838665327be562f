package org.baobabknot.quarantine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests for {@link TrialTable}. Time is an argument.
 */
class TrialTableTests {

	private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

	private static final Set<Long> TRAITS = Set.of(1L, 2L);

	private final TrialTable low = new TrialTable(10);

	private final TrialTable high = new TrialTable(20);

	@Nested
	class OneProcess {

		@Test
		void runsOneTrialOfATraitAtATime() {
			Trial first = TrialTableTests.this.low.tryClaim(TRAITS, 0).orElseThrow();
			assertThat(TrialTableTests.this.low.tryStart(first, 0), is(true));
			assertThat(TrialTableTests.this.low.tryClaim(Set.of(2L, 3L), 0).isPresent(), is(false));
			assertThat(TrialTableTests.this.low.tryClaim(Set.of(3L), 0).isPresent(), is(true));
			TrialTableTests.this.low.release(first);
			assertThat(TrialTableTests.this.low.tryClaim(TRAITS, 0).isPresent(), is(true));
		}

		@Test
		void forgetsATrialWhoseEndWasNotAnnounced() {
			TrialTableTests.this.low.merge(20, TRAITS, true, 0);
			assertThat(TrialTableTests.this.low.tryClaim(TRAITS, 1_499 * MILLISECOND).isPresent(), is(false));
			assertThat(TrialTableTests.this.low.tryClaim(TRAITS, 1_500 * MILLISECOND).isPresent(), is(true));
		}

	}

	@Nested
	class TwoProcesses {

		@Test
		void theLowerIdWinsWhenBothClaimAtTheSameTime() {
			Trial lowClaim = TrialTableTests.this.low.tryClaim(TRAITS, 0).orElseThrow();
			Trial highClaim = TrialTableTests.this.high.tryClaim(Set.of(2L), 0).orElseThrow();
			assertThat(TrialTableTests.this.high.merge(10, TRAITS, false, 0).isPresent(), is(false));
			assertThat(TrialTableTests.this.low.merge(20, Set.of(2L), false, 0), is(Optional.of(lowClaim)));
			assertThat(TrialTableTests.this.high.tryStart(highClaim, 0), is(false));
			assertThat(TrialTableTests.this.low.tryStart(lowClaim, 0), is(true));
		}

		@Test
		void aRunningTrialIsNotDisplacedByALowerId() {
			Trial highClaim = TrialTableTests.this.high.tryClaim(TRAITS, 0).orElseThrow();
			TrialTableTests.this.high.tryStart(highClaim, 0);
			Trial lowClaim = TrialTableTests.this.low.tryClaim(TRAITS, 0).orElseThrow();
			assertThat(TrialTableTests.this.high.merge(10, TRAITS, false, 0), is(Optional.of(highClaim)));
			TrialTableTests.this.low.merge(20, TRAITS, true, 0);
			assertThat(TrialTableTests.this.low.tryStart(lowClaim, 0), is(false));
		}

		@Test
		void anEndFreesTheTraits() {
			TrialTableTests.this.low.merge(20, TRAITS, true, 0);
			TrialTableTests.this.low.mergeEnd(20, TRAITS);
			assertThat(TrialTableTests.this.low.tryClaim(TRAITS, 0).isPresent(), is(true));
		}

	}

	@Nested
	class Schedules {

		private static final int PROCESSES = 8;

		/**
		 * Processes claim the same trait within the time of a message; all messages
		 * arrive before the time for objections ends.
		 */
		@Test
		void oneTrialRunsAtATime() {
			for (int seed = 0; seed < 2_000; seed++) {
				SplittableRandom random = new SplittableRandom(seed);
				List<TrialTable> tables = new ArrayList<>();
				for (int index = 0; index < PROCESSES; index++) {
					tables.add(new TrialTable(index));
				}
				List<Trial> claims = new ArrayList<>();
				for (int index : shuffled(random)) {
					tables.get(index).tryClaim(TRAITS, 0).ifPresent(claims::add);
					if (random.nextBoolean() && !claims.isEmpty()) {
						announce(tables, claims.get(random.nextInt(claims.size())));
					}
				}
				claims.forEach((claim) -> announce(tables, claim));
				long running = claims.stream()
					.filter((claim) -> tables.get((int) claim.holder()).tryStart(claim, MILLISECOND))
					.count();
				assertThat("seed " + seed, running, lessThanOrEqualTo(1L));
			}
		}

		private static List<Integer> shuffled(SplittableRandom random) {
			List<Integer> order = new ArrayList<>();
			while (order.size() < PROCESSES) {
				int next = random.nextInt(PROCESSES);
				if (!order.contains(next)) {
					order.add(next);
				}
			}
			return order;
		}

		private static void announce(List<TrialTable> tables, Trial claim) {
			for (int index = 0; index < PROCESSES; index++) {
				if (index != claim.holder()) {
					tables.get(index)
						.merge(claim.holder(), new HashSet<>(claim.traits()), claim.running(), 0)
						.ifPresent((own) -> tables.get((int) claim.holder())
							.merge(own.holder(), own.traits(), own.running(), 0));
				}
			}
		}

	}

}
