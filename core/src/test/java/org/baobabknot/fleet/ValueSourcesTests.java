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
 * Tests for {@link ValueSources}.
 */
class ValueSourcesTests {

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
		void twoEntriesOfEachRegionReadFromTheStore() {
			for (int count : new int[] { 2, 6, 20, 123 }) {
				List<EntryRecord> all = entries(count, "a");
				all.addAll(entries(count, "b"));
				long readers = all.stream()
					.filter((entry) -> ValueSources.forEntry(all, entry).sources().isEmpty())
					.count();
				assertThat(count + " entries", readers, is(4L));
			}
		}

		@Test
		void sourcesAreInTheSameRegionAndHaveFewFollowers() {
			List<EntryRecord> all = entries(123, "a");
			all.addAll(entries(123, "b"));
			Map<EntryRecord, Integer> followersBySource = new HashMap<>();
			for (EntryRecord entry : all) {
				ValueSources order = ValueSources.forEntry(all, entry);
				order.sources().forEach((source) -> assertThat(source.region(), is(entry.region())));
				if (!order.sources().isEmpty()) {
					followersBySource.merge(order.sources().get(0), 1, Integer::sum);
				}
			}
			followersBySource.values().forEach((followers) -> assertThat(followers, is(lessThanOrEqualTo(10))));
		}

		@Test
		void everyChainOfSourcesEndsAtAStoreReader() {
			List<EntryRecord> all = entries(64, "a");
			for (EntryRecord entry : all) {
				Set<EntryRecord> visited = new HashSet<>();
				ValueSources order = ValueSources.forEntry(all, entry);
				while (!order.sources().isEmpty()) {
					EntryRecord last = order.sources().get(order.sources().size() - 1);
					assertThat("circular chain of sources: " + last, visited.add(last), is(true));
					order = ValueSources.forEntry(all, last);
				}
			}
		}

		@Test
		void anEntryThatIsNotYetRegisteredHasTheSameSources() {
			List<EntryRecord> all = entries(20, "a");
			EntryRecord self = all.remove(7);
			List<EntryRecord> others = List.copyOf(all);
			all.add(self);
			assertThat(ValueSources.forEntry(others, self), is(ValueSources.forEntry(all, self)));
		}

		@Test
		void theOnlyEntryOfARegionReadsFromTheStore() {
			EntryRecord self = new EntryRecord("x", "c", "10.0.0.1", 1);
			assertThat(ValueSources.forEntry(entries(20, "a"), self).sources(), is(empty()));
		}

	}

	@Nested
	class OtherProcesses {

		@Test
		void spreadOverTheEntriesOfTheirRegion() {
			List<EntryRecord> all = entries(20, "a");
			all.addAll(entries(20, "b"));
			Set<EntryRecord> first = new HashSet<>();
			for (int index = 0; index < 40; index++) {
				ValueSources order = ValueSources.forOtherProcess(all, "a", "loader-" + index);
				assertThat(order.sources(), hasSize(4));
				order.sources().forEach((source) -> assertThat(source.region(), is("a")));
				first.add(order.sources().get(0));
			}
			assertThat(first.size() >= 10, is(true));
		}

		@Test
		void haveNoSourceInARegionWithoutEntries() {
			assertThat(ValueSources.forOtherProcess(entries(20, "a"), "c", "loader").sources(), is(empty()));
		}

	}

}
