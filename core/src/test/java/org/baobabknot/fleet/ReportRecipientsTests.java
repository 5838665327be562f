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
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of {@link ReportRecipients} at the size of the largest deployment: 49 entries in
 * five regions.
 */
class ReportRecipientsTests {

	private static final int REGIONS = 5;

	private static final int ENTRIES = 49;

	private static List<EntryRecord> entries(int count) {
		List<EntryRecord> entries = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			entries.add(new EntryRecord("entry-" + index, "region-" + index % REGIONS, "10.0.0." + index, 7_700));
		}
		return entries;
	}

	private static List<EntryRecord> inRegion(List<EntryRecord> entries, String region) {
		return entries.stream().filter((entry) -> entry.region().equals(region)).toList();
	}

	@Test
	void theNumberOfDatagramsDoesNotGrowWithTheEntriesOfOtherRegions() {
		ReportRecipients recipients = ReportRecipients.of(entries(ENTRIES), "region-0");
		assertThat(recipients.sameRegion().size() + recipients.relays().size(),
				is(lessThanOrEqualTo(ENTRIES / REGIONS + 1 + 2 * (REGIONS - 1))));
	}

	@Nested
	class Reach {

		@Test
		void everyEntryIsReachedThroughItsRegionOrARelayOfIt() {
			List<EntryRecord> all = entries(ENTRIES);
			ReportRecipients recipients = ReportRecipients.of(all, "region-2");
			assertThat(new HashSet<>(recipients.sameRegion()), is(new HashSet<>(inRegion(all, "region-2"))));
			Map<String, Integer> relaysByRegion = new HashMap<>();
			recipients.relays().forEach((relay) -> relaysByRegion.merge(relay.region(), 1, Integer::sum));
			assertThat(relaysByRegion, is(Map.of("region-0", 2, "region-1", 2, "region-3", 2, "region-4", 2)));
		}

		@Test
		void aRegionWithOneEntryIsReached() {
			ReportRecipients recipients = ReportRecipients.of(entries(REGIONS), "region-0");
			assertThat(recipients.sameRegion(), hasSize(1));
			assertThat(recipients.relays(), hasSize(REGIONS - 1));
		}

		@Test
		void withoutEntriesInTheOwnRegionTheRelaysRemain() {
			ReportRecipients recipients = ReportRecipients.of(entries(ENTRIES), "elsewhere");
			assertThat(recipients.sameRegion(), hasSize(0));
			assertThat(recipients.relays(), hasSize(2 * REGIONS));
		}

	}

	@Nested
	class Relays {

		/**
		 * Reports of one region can only be batched at relays that all loaders choose.
		 */
		@Test
		void areTheSameForAllRegionsOfLoaders() {
			List<EntryRecord> all = entries(ENTRIES);
			Set<EntryRecord> relays = new HashSet<>();
			for (String region : List.of("region-0", "region-1", "region-2", "region-3")) {
				relays.addAll(inRegion(ReportRecipients.of(all, region).relays(), "region-4"));
			}
			assertThat(relays, hasSize(2));
		}

		@Test
		void areReplacedWhenOneIsNoLongerRegistered() {
			List<EntryRecord> all = entries(ENTRIES);
			EntryRecord lost = ReportRecipients.of(all, "region-0").relays().get(0);
			all.remove(lost);
			List<EntryRecord> relays = ReportRecipients.of(all, "region-0").relays();
			assertThat(inRegion(relays, lost.region()), hasSize(2));
			assertThat(relays.contains(lost), is(false));
		}

	}

}
