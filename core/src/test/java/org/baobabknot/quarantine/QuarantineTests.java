package org.baobabknot.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests for {@link Quarantine}. Time is an argument.
 */
class QuarantineTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

	private static final long DEADLY = 1;

	private static final long SHARED = 2;

	private final Quarantine quarantine = new Quarantine();

	private RequestVerdict verdict(long part, long nowNanos) {
		return this.quarantine.verdict(List.of(part), nowNanos);
	}

	private static CrashEvidence evidence(long trait, long crash) {
		return new CrashEvidence(List.of(trait), crash, false, 0);
	}

	@Nested
	class Evidence {

		@Test
		void aPartIsQuarantinedAfterTwoCrashes() {
			Quarantine quarantine = QuarantineTests.this.quarantine;
			assertThat(verdict(DEADLY, 0), is(RequestVerdict.UNKNOWN));
			quarantine.recordCrash(11, List.of(DEADLY), false, 0);
			assertThat(verdict(DEADLY, 0), is(RequestVerdict.SUSPECTED));
			quarantine.recordCrash(12, List.of(DEADLY), false, SECOND);
			assertThat(verdict(DEADLY, SECOND), is(RequestVerdict.QUARANTINED));
		}

		/** They may crash the next target, so that cut streams go elsewhere. */
		@Test
		void requestsCutBeforeTheirResponseAreRepeatedForAShortTime() {
			Quarantine quarantine = QuarantineTests.this.quarantine;
			quarantine.recordCrash(11, List.of(DEADLY), false, 0);
			quarantine.recordCrash(11, List.of(SHARED), true, 0);
			assertThat(quarantine.repeatedTraits(100 * MILLISECOND), is(Set.of(DEADLY)));
			assertThat(quarantine.repeatedTraits(SECOND), is(Set.of()));
		}

		@Test
		void severalRequestsAtOneCrashedTargetAreOneCrash() {
			Quarantine quarantine = QuarantineTests.this.quarantine;
			assertThat(quarantine.recordCrash(11, List.of(DEADLY), false, 0).isPresent(), is(true));
			assertThat(quarantine.recordCrash(11, List.of(DEADLY), false, 100 * MILLISECOND).isPresent(), is(false));
			assertThat(verdict(DEADLY, SECOND), is(RequestVerdict.SUSPECTED));
		}

		@Test
		void targetsThatLosePowerTogetherAreOneCrash() {
			Quarantine quarantine = QuarantineTests.this.quarantine;
			for (int crash = 0; crash < 6; crash++) {
				quarantine.recordCrash(crash, List.of(DEADLY), false, crash * 4 * MILLISECOND);
			}
			assertThat(verdict(DEADLY, SECOND), is(RequestVerdict.SUSPECTED));
		}

		@Test
		void aServedTraitIsNotSuspected() {
			Quarantine quarantine = QuarantineTests.this.quarantine;
			quarantine.recordServed(List.of(SHARED), 0);
			quarantine.recordCrash(11, List.of(SHARED, DEADLY), false, SECOND);
			quarantine.recordCrash(12, List.of(SHARED, DEADLY), false, 2 * SECOND);
			assertThat(verdict(SHARED, 2 * SECOND), is(RequestVerdict.SERVED));
			assertThat(verdict(DEADLY, 2 * SECOND), is(RequestVerdict.QUARANTINED));
			assertThat(quarantine.verdict(List.of(SHARED, DEADLY), 2 * SECOND), is(RequestVerdict.QUARANTINED));
		}

		@Test
		void aResponseEndsASuspicion() {
			Quarantine quarantine = QuarantineTests.this.quarantine;
			quarantine.recordCrash(11, List.of(SHARED), false, 0);
			assertThat(quarantine.recordServed(List.of(SHARED), SECOND), is(List.of(SHARED)));
			quarantine.recordCrash(12, List.of(SHARED), false, 2 * SECOND);
			assertThat(verdict(SHARED, 2 * SECOND), is(RequestVerdict.SERVED));
		}

		@Test
		void aRequestWithoutAPromptIsServed() {
			assertThat(QuarantineTests.this.quarantine.verdict(List.of(), 0), is(RequestVerdict.SERVED));
		}

	}

	/**
	 * Parts of a caller that nobody used for half a minute were quarantined beside the
	 * deadly one, and all of its requests rejected.
	 */
	@Nested
	class TraitsThatWereTogetherInAllCrashes {

		private static final long CALLER = 3;

		private final Quarantine quarantine = QuarantineTests.this.quarantine;

		private void crashTwice() {
			this.quarantine.recordCrash(11, List.of(CALLER, SHARED, DEADLY, 101L), false, 0);
			this.quarantine.recordCrash(12, List.of(CALLER, SHARED, DEADLY, 102L), false, SECOND);
		}

		private RequestVerdict verdict(Long... traits) {
			return this.quarantine.verdict(List.of(traits), 2 * SECOND);
		}

		@Test
		void holdBackOnlyRequestsWithAllOfThem() {
			crashTwice();
			assertThat(verdict(CALLER, SHARED, DEADLY, 103L), is(RequestVerdict.QUARANTINED));
			assertThat(verdict(CALLER, SHARED, 104L), is(RequestVerdict.SUSPECTED));
		}

		@Test
		void areToldApartByARequestThatIsServed() {
			crashTwice();
			this.quarantine.recordServed(List.of(CALLER, SHARED, 104L), 2 * SECOND);
			assertThat(verdict(CALLER, SHARED, 105L), is(RequestVerdict.UNKNOWN));
			assertThat(verdict(CALLER, SHARED, DEADLY, 103L), is(RequestVerdict.QUARANTINED));
			assertThat(verdict(DEADLY), is(RequestVerdict.QUARANTINED));
		}

		@Test
		void areToldApartByARequestThatCrashesItsTarget() {
			crashTwice();
			this.quarantine.recordCrash(13, List.of(CALLER, SHARED, 104L), false, 2 * SECOND);
			assertThat(verdict(CALLER, SHARED, 105L), is(RequestVerdict.QUARANTINED));
		}

		@Test
		void areNotConvictedBySoundRequestsAtTheSameTargets() {
			crashTwice();
			this.quarantine.recordCrash(11, List.of(CALLER, SHARED, 105L), false, 0);
			this.quarantine.recordCrash(12, List.of(CALLER, SHARED, 106L), false, SECOND);
			assertThat(verdict(CALLER, SHARED, 107L), is(RequestVerdict.SUSPECTED));
		}

	}

	/**
	 * A crash after the first events of a response was no evidence.
	 */
	@Nested
	class CrashesInTheMiddleOfResponses {

		@Test
		void countLessThanThoseBeforeTheFirstByte() {
			Quarantine quarantine = QuarantineTests.this.quarantine;
			quarantine.recordCrash(11, List.of(DEADLY), true, 0);
			assertThat(verdict(DEADLY, 0), is(RequestVerdict.UNKNOWN));
			quarantine.recordCrash(12, List.of(DEADLY), true, SECOND);
			assertThat(verdict(DEADLY, SECOND), is(RequestVerdict.SUSPECTED));
			quarantine.recordCrash(13, List.of(DEADLY), true, 2 * SECOND);
			assertThat(verdict(DEADLY, 2 * SECOND), is(RequestVerdict.QUARANTINED));
		}

	}

	@Nested
	class ManyCrashes {

		private static final long HOUR = 3_600 * SECOND;

		@Test
		void countEachTargetAlthoughTheyCrashedTogether() {
			Quarantine quarantine = QuarantineTests.this.quarantine;
			for (int crash = 0; crash < 6; crash++) {
				quarantine.recordCrash(crash, List.of(DEADLY), false, crash * MILLISECOND);
			}
			assertThat(verdict(DEADLY, SECOND), is(RequestVerdict.SUSPECTED));
			quarantine.recordCrash(7, List.of(DEADLY), false, 4 * SECOND);
			assertThat(verdict(DEADLY, 1_800 * SECOND), is(RequestVerdict.QUARANTINED));
		}

		/** A quarantine ended by the clock, and each end cost targets. */
		@Test
		void endTheTrialsWhileSuchRequestsStillCome() {
			Quarantine quarantine = QuarantineTests.this.quarantine;
			for (int crash = 0; crash < 5; crash++) {
				quarantine.recordCrash(crash, List.of(DEADLY), false, crash * SECOND);
			}
			long now = 4 * SECOND;
			for (int hour = 0; hour < 10; hour++) {
				now += HOUR / 2;
				assertThat(verdict(DEADLY, now), is(RequestVerdict.QUARANTINED));
				quarantine.recordHeld(List.of(DEADLY), now);
			}
			assertThat(verdict(DEADLY, now + HOUR), is(RequestVerdict.SUSPECTED));
		}

	}

	@Nested
	class Expiry {

		@Test
		void afterTheQuarantineOneRequestDecidesAndAFurtherCrashDoublesIt() {
			Quarantine quarantine = QuarantineTests.this.quarantine;
			quarantine.recordCrash(11, List.of(DEADLY), false, 0);
			quarantine.recordCrash(12, List.of(DEADLY), false, SECOND);
			assertThat(verdict(DEADLY, 60 * SECOND), is(RequestVerdict.QUARANTINED));
			assertThat(verdict(DEADLY, 61 * SECOND), is(RequestVerdict.SUSPECTED));
			quarantine.recordCrash(13, List.of(DEADLY), false, 62 * SECOND);
			assertThat(verdict(DEADLY, 181 * SECOND), is(RequestVerdict.QUARANTINED));
			assertThat(verdict(DEADLY, 182 * SECOND), is(RequestVerdict.SUSPECTED));
		}

		@Test
		void aSuspicionExpires() {
			Quarantine quarantine = QuarantineTests.this.quarantine;
			quarantine.recordCrash(11, List.of(DEADLY), false, 0);
			assertThat(verdict(DEADLY, 59 * SECOND), is(RequestVerdict.SUSPECTED));
			assertThat(verdict(DEADLY, 60 * SECOND), is(RequestVerdict.UNKNOWN));
			quarantine.recordCrash(12, List.of(DEADLY), false, 61 * SECOND);
			assertThat(verdict(DEADLY, 61 * SECOND), is(RequestVerdict.SUSPECTED));
		}

		@Test
		void aPartThatWasServedLongAgoCanBeSuspected() {
			Quarantine quarantine = QuarantineTests.this.quarantine;
			quarantine.recordServed(List.of(SHARED), 0);
			quarantine.recordCrash(11, List.of(SHARED), false, 31 * SECOND);
			assertThat(verdict(SHARED, 31 * SECOND), is(RequestVerdict.SUSPECTED));
		}

	}

	@Nested
	class Bounds {

		private static final int MAX_RECORDS = 48;

		@Test
		void aFullTableKeepsQuarantinedParts() {
			Quarantine quarantine = QuarantineTests.this.quarantine;
			quarantine.recordCrash(1, List.of(DEADLY), false, 0);
			quarantine.recordCrash(2, List.of(DEADLY), false, SECOND);
			for (long crash = 100; crash < 1_000; crash++) {
				quarantine.recordCrash(crash, List.of(crash * 10, crash * 10 + 1), false, SECOND + crash * MILLISECOND);
			}
			assertThat(verdict(DEADLY, 3 * SECOND), is(RequestVerdict.QUARANTINED));
			assertThat(quarantine.evidence(Integer.MAX_VALUE, 3 * SECOND).size(), lessThanOrEqualTo(256 + 1));
		}

		@Test
		void aLongPromptAddsALimitedNumberOfParts() {
			List<Long> parts = LongStream.range(0, 5_000).boxed().toList();
			assertThat(QuarantineTests.this.quarantine.recordCrash(1, parts, false, 0).orElseThrow().traits(),
					hasSize(32));
		}

		@Test
		void evidenceForAPeerIsLimited() {
			Quarantine quarantine = QuarantineTests.this.quarantine;
			for (long crash = 0; crash < 100; crash++) {
				quarantine.recordCrash(crash, List.of(crash), false, crash * SECOND / 10);
			}
			assertThat(quarantine.evidence(MAX_RECORDS, 10 * SECOND), hasSize(MAX_RECORDS));
		}

	}

	@Nested
	class Merging {

		@Test
		void crashesThatDifferentProcessesSawAddUp() {
			Quarantine other = new Quarantine();
			other.recordCrash(11, List.of(DEADLY), false, 0);
			QuarantineTests.this.quarantine.recordCrash(12, List.of(DEADLY), false, SECOND);
			other.evidence(10, 2 * SECOND)
				.forEach((evidence) -> QuarantineTests.this.quarantine.merge(evidence, 2 * SECOND));
			assertThat(verdict(DEADLY, 2 * SECOND), is(RequestVerdict.QUARANTINED));
		}

		@Test
		void evidenceAgainstAServedTraitIsAnswered() {
			Quarantine quarantine = QuarantineTests.this.quarantine;
			quarantine.recordServed(List.of(SHARED), 0);
			assertThat(quarantine.merge(evidence(SHARED, 11), SECOND), is(List.of(SHARED)));
			Quarantine other = new Quarantine();
			other.recordCrash(11, List.of(SHARED), false, SECOND);
			assertThat(other.merge(quarantine.servedRecord(SHARED, SECOND).orElseThrow(), SECOND), is(true));
			assertThat(other.verdict(List.of(SHARED), SECOND), is(RequestVerdict.SERVED));
		}

		@Test
		void relayedEvidenceDoesNotRenewItself() {
			Quarantine quarantine = QuarantineTests.this.quarantine;
			quarantine.recordCrash(11, List.of(DEADLY), false, 0);
			quarantine.recordCrash(12, List.of(DEADLY), false, SECOND);
			quarantine.merge(evidence(DEADLY, 12), 50 * SECOND);
			assertThat(verdict(DEADLY, 61 * SECOND), is(RequestVerdict.SUSPECTED));
		}

	}

	@Nested
	class Schedules {

		private static final int PROCESSES = 18;

		private static final int SEEDS = 1_000;

		/**
		 * Processes exchange records with losses while sound requests share one part with
		 * the deadly ones and other targets crash for other reasons.
		 */
		@Test
		void allProcessesQuarantineTheDeadlyPartAndNoSharedOne() {
			for (int seed = 0; seed < SEEDS; seed++) {
				SplittableRandom random = new SplittableRandom(seed);
				List<Quarantine> processes = new ArrayList<>();
				for (int index = 0; index < PROCESSES; index++) {
					processes.add(new Quarantine());
				}
				long now = 0;
				for (int step = 0; step < 120; step++) {
					now += random.nextInt(40) * MILLISECOND;
					Quarantine process = processes.get(random.nextInt(PROCESSES));
					step(random, processes, process, step, now);
				}
				for (int round = 0; round < 60; round++) {
					now += 100 * MILLISECOND;
					exchange(random, processes, processes.get(random.nextInt(PROCESSES)), now);
				}
				long end = now;
				String reason = "seed " + seed;
				assertThat(reason,
						processes.stream()
							.filter((each) -> each.verdict(List.of(SHARED), end) == RequestVerdict.QUARANTINED)
							.count(),
						is(0L));
				assertThat(reason,
						processes.stream()
							.filter((each) -> each.verdict(List.of(SHARED, DEADLY), end) == RequestVerdict.QUARANTINED)
							.count(),
						is((long) PROCESSES));
			}
		}

		private void step(SplittableRandom random, List<Quarantine> processes, Quarantine process, int step, long now) {
			switch (random.nextInt(8)) {
				case 0, 1, 2, 3 -> process.recordServed(List.of(SHARED), now);
				case 4 -> {
					if (process.verdict(List.of(SHARED, DEADLY), now) != RequestVerdict.QUARANTINED) {
						broadcast(random, processes, process.recordCrash(step, List.of(SHARED, DEADLY), false, now),
								process, now);
					}
				}
				case 5 -> broadcast(random, processes, process.recordCrash(step, List.of(1_000L + step), false, now),
						process, now);
				default -> exchange(random, processes, process, now);
			}
		}

		private void broadcast(SplittableRandom random, List<Quarantine> processes, Optional<CrashEvidence> evidence,
				Quarantine from, long now) {
			for (Quarantine process : processes) {
				if (process != from && random.nextInt(20) != 0) {
					deliver(evidence.stream().toList(), from, process, now);
				}
			}
		}

		private void exchange(SplittableRandom random, List<Quarantine> processes, Quarantine from, long now) {
			Quarantine to = processes.get(random.nextInt(PROCESSES));
			if (to != from) {
				deliver(from.evidence(48, now), from, to, now);
				deliver(to.evidence(48, now), to, from, now);
			}
		}

		private void deliver(List<CrashEvidence> evidence, Quarantine from, Quarantine to, long now) {
			for (CrashEvidence record : evidence) {
				to.merge(record, now).forEach((trait) -> from.merge(to.servedRecord(trait, now).orElseThrow(), now));
			}
		}

	}

}
