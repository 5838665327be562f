package org.baobabknot.limit;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;

import org.baobabknot.fleet.EntryRecord;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests of who issues permits, and in which role.
 */
class IssuerRankingTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final EntryRecord SELF = new EntryRecord("a", "r1", "a", 1);

	private static final EntryRecord OTHER = new EntryRecord("b", "r1", "b", 1);

	private static final EntryRecord REMOTE = new EntryRecord("c", "r2", "c", 1);

	private static final List<EntryRecord> ALL = List.of(SELF, OTHER, REMOTE);

	private final IssuerRanking ranking = new IssuerRanking(SELF);

	private void begin(List<EntryRecord> entries) {
		this.ranking.recordRegistration(10 * SECOND, 0);
		this.ranking.recordList(entries, SECOND);
	}

	// A target whose permits this process issues.
	private long own() {
		return LongStream.range(0, 100)
			.filter((key) -> this.ranking.issuers("r1", key).get(0).equals(SELF))
			.findFirst()
			.orElseThrow();
	}

	private IssuerRole role(long nowNanos) {
		return this.ranking.role("r1", own(), nowNanos);
	}

	@Test
	void aProcessWithoutAListIsAlone() {
		assertThat(this.ranking.role("r1", 1, 0), is(IssuerRole.ALONE));
		assertThat(this.ranking.issuers("r1", 1), is(List.of()));
	}

	@Test
	void issuersAreOfTheRegionOfTheTarget() {
		begin(ALL);
		LongStream.range(0, 50).forEach((key) -> {
			assertThat(this.ranking.issuers("r1", key).contains(REMOTE), is(false));
			assertThat(this.ranking.issuers("r2", 1_000 + key), is(List.of(REMOTE)));
		});
	}

	@Nested
	class Sole {

		@Test
		void onceAllOthersHaveConfirmed() {
			begin(ALL);
			assertThat(role(2 * SECOND), is(IssuerRole.REDUCED));
			assertThat(IssuerRankingTests.this.ranking.awaited(), is(List.of(OTHER, REMOTE)));
			IssuerRankingTests.this.ranking.recordConfirmed("b");
			assertThat(role(2 * SECOND), is(IssuerRole.REDUCED));
			IssuerRankingTests.this.ranking.recordConfirmed("c");
			assertThat(role(2 * SECOND), is(IssuerRole.SOLE));
		}

		/**
		 * Guards against a first entry of a region that issues beside the entry of
		 * another region that did so before.
		 */
		@Test
		void forARegionThatHadNoEntryOnceTheOthersHaveConfirmed() {
			begin(List.of(SELF, REMOTE));
			assertThat(role(2 * SECOND), is(IssuerRole.REDUCED));
			IssuerRankingTests.this.ranking.recordConfirmed("c");
			assertThat(role(2 * SECOND), is(IssuerRole.SOLE));
		}

		@Test
		void forARegionWithoutEntriesOnceTheOthersHaveConfirmed() {
			begin(List.of(SELF));
			assertThat(IssuerRankingTests.this.ranking.role("r3", 1, 2 * SECOND), is(IssuerRole.SOLE));
			IssuerRankingTests.this.ranking.recordAnnounced(new EntryRecord("d", "r3", "d", 1), 2 * SECOND);
			assertThat(IssuerRankingTests.this.ranking.role("r3", 1, 2 * SECOND), is(IssuerRole.REDUCED));
		}

		@Test
		void onceAllHadTheTimeToReadTheList() {
			begin(ALL);
			IssuerRankingTests.this.ranking.recordList(ALL, 21 * SECOND);
			IssuerRankingTests.this.ranking.recordRegistration(30 * SECOND, 9 * SECOND);
			assertThat(role(19 * SECOND), is(IssuerRole.REDUCED));
			assertThat(role(21 * SECOND), is(IssuerRole.SOLE));
		}

		@Test
		void notForATargetOfAnother() {
			begin(List.of(SELF, OTHER));
			IssuerRankingTests.this.ranking.recordConfirmed("b");
			long others = LongStream.range(0, 100)
				.filter((key) -> IssuerRankingTests.this.ranking.issuers("r1", key).get(0).equals(OTHER))
				.findFirst()
				.orElseThrow();
			assertThat(IssuerRankingTests.this.ranking.role("r1", others, 2 * SECOND), is(IssuerRole.REDUCED));
		}

	}

	@Nested
	class NoLongerSole {

		private void becomeSole() {
			begin(ALL);
			confirmAll();
			assertThat(role(2 * SECOND), is(IssuerRole.SOLE));
		}

		private void confirmAll() {
			IssuerRankingTests.this.ranking.recordConfirmed("b");
			IssuerRankingTests.this.ranking.recordConfirmed("c");
		}

		@Test
		void whenTheRegistrationMayHaveExpired() {
			becomeSole();
			assertThat(role(10 * SECOND), is(IssuerRole.REDUCED));
		}

		@Test
		void whenTheListIsOld() {
			becomeSole();
			IssuerRankingTests.this.ranking.recordRegistration(100 * SECOND, 9 * SECOND);
			assertThat(role(16 * SECOND), is(IssuerRole.SOLE));
			assertThat(role(17 * SECOND), is(IssuerRole.REDUCED));
		}

		@Test
		void whenTheRegistrationHadLapsed() {
			becomeSole();
			IssuerRankingTests.this.ranking.recordRegistration(40 * SECOND, 30 * SECOND);
			IssuerRankingTests.this.ranking.recordList(ALL, 31 * SECOND);
			assertThat(role(32 * SECOND), is(IssuerRole.REDUCED));
			confirmAll();
			assertThat(role(32 * SECOND), is(IssuerRole.SOLE));
		}

		/**
		 * The store was restored, so that others may not have this process in their list.
		 */
		@Test
		void whenTheStoreMayHaveForgottenTheRegistration() {
			becomeSole();
			IssuerRankingTests.this.ranking.recordUnregistered();
			assertThat(role(2 * SECOND), is(IssuerRole.REDUCED));
			IssuerRankingTests.this.ranking.recordRegistration(13 * SECOND, 3 * SECOND);
			assertThat(role(3 * SECOND), is(IssuerRole.REDUCED));
			IssuerRankingTests.this.ranking.recordList(ALL, 4 * SECOND);
			assertThat(role(4 * SECOND), is(IssuerRole.REDUCED));
			confirmAll();
			assertThat(role(4 * SECOND), is(IssuerRole.SOLE));
		}

		@Test
		void whenItLeaves() {
			becomeSole();
			IssuerRankingTests.this.ranking.leave();
			assertThat(role(2 * SECOND), is(IssuerRole.REDUCED));
		}

	}

	@Nested
	class Notices {

		@Test
		void ofAnEntryThatLeavesGoBeforeTheList() {
			begin(ALL);
			IssuerRankingTests.this.ranking.recordDeparted(OTHER, SECOND);
			LongStream.range(0, 50)
				.forEach((key) -> assertThat(IssuerRankingTests.this.ranking.issuers("r1", key), is(List.of(SELF))));
		}

		@Test
		void ofANewEntryGoBeforeTheList() {
			begin(List.of(SELF));
			IssuerRankingTests.this.ranking.recordAnnounced(OTHER, SECOND);
			assertThat(LongStream.range(0, 50)
				.filter((key) -> IssuerRankingTests.this.ranking.issuers("r1", key).get(0).equals(OTHER))
				.count(), is(not(0L)));
		}

		@Test
		void areForgottenWhereTheListSaysOtherwiseForLong() {
			begin(ALL);
			IssuerRankingTests.this.ranking.recordDeparted(OTHER, SECOND);
			IssuerRankingTests.this.ranking.recordList(ALL, 40 * SECOND);
			assertThat(IssuerRankingTests.this.ranking.issuers("r1", 1).contains(OTHER), is(true));
		}

	}

}
