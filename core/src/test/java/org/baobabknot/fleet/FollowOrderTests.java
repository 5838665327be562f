package org.baobabknot.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of who reads the operators' values from whom.
 */
class FollowOrderTests {

	private static List<EntryRecord> entries(int count, String region) {
		List<EntryRecord> entries = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			entries.add(new EntryRecord(region + "-" + index, region, "10.0.0." + index, 1));
		}
		return entries;
	}

	@Nested
	class Entries {

		@Test
		void twoOfARegionReadTheStoreHoweverManyThereAre() {
			for (int count : new int[] { 2, 6, 20, 123 }) {
				List<EntryRecord> all = entries(count, "a");
				all.addAll(entries(count, "b"));
				long readers = all.stream()
					.filter((entry) -> FollowOrder.ofEntry(all, entry).sources().isEmpty())
					.count();
				assertThat(count + " entries", readers, is(4L));
			}
		}

		@Test
		void followersAskTheirOwnRegionAndNobodyServesMany() {
			List<EntryRecord> all = entries(123, "a");
			all.addAll(entries(123, "b"));
			Map<EntryRecord, Integer> served = new HashMap<>();
			for (EntryRecord entry : all) {
				FollowOrder order = FollowOrder.ofEntry(all, entry);
				order.sources().forEach((source) -> assertThat(source.region(), is(entry.region())));
				if (!order.sources().isEmpty()) {
					served.merge(order.sources().get(0), 1, Integer::sum);
				}
			}
			served.values().forEach((followers) -> assertThat(followers, is(lessThanOrEqualTo(10))));
		}

		@Test
		void everyChainOfFirstAndFurtherSourcesEndsAtAReader() {
			List<EntryRecord> all = entries(64, "a");
			for (EntryRecord entry : all) {
				Set<EntryRecord> seen = new HashSet<>();
				FollowOrder order = FollowOrder.ofEntry(all, entry);
				while (!order.sources().isEmpty()) {
					EntryRecord last = order.sources().get(order.sources().size() - 1);
					assertThat("asks in a circle: " + last, seen.add(last), is(true));
					order = FollowOrder.ofEntry(all, last);
				}
			}
		}

		@Test
		void anEntryThatIsNotYetListedFindsItsPlace() {
			List<EntryRecord> all = entries(20, "a");
			EntryRecord self = all.remove(7);
			List<EntryRecord> others = List.copyOf(all);
			all.add(self);
			assertThat(FollowOrder.ofEntry(others, self), is(FollowOrder.ofEntry(all, self)));
		}

		@Test
		void anEntryAloneInItsRegionReadsTheStore() {
			EntryRecord self = new EntryRecord("x", "c", "10.0.0.1", 1);
			assertThat(FollowOrder.ofEntry(entries(20, "a"), self).sources(), is(empty()));
		}

	}

	@Nested
	class Others {

		@Test
		void spreadOverTheEntriesOfTheirRegion() {
			List<EntryRecord> all = entries(20, "a");
			all.addAll(entries(20, "b"));
			Set<EntryRecord> first = new HashSet<>();
			for (int index = 0; index < 40; index++) {
				FollowOrder order = FollowOrder.ofOther(all, "a", "loader-" + index);
				assertThat(order.sources(), hasSize(4));
				order.sources().forEach((source) -> assertThat(source.region(), is("a")));
				first.add(order.sources().get(0));
			}
			assertThat(first.size() >= 10, is(true));
		}

		@Test
		void haveNoSourceInARegionWithoutEntries() {
			assertThat(FollowOrder.ofOther(entries(20, "a"), "c", "loader").sources(), is(empty()));
		}

	}

}
