package org.baobabknot.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.baobabknot.hashing.RendezvousHash;

/**
 * Entries to which a target's loader sends its load reports: all entries of its own
 * region, and a few relays in each other region, which pass the reports of all loaders on
 * to the entries there in batches. The load that this answers is the number of datagrams:
 * with reports sent to every entry it grows with the product of loaders and entries.
 *
 * @param sameRegion entries that receive each report directly
 * @param relays entries of other regions that pass reports on
 */
public record ReportRecipients(List<EntryRecord> sameRegion, List<EntryRecord> relays) {

	/**
	 * Relays in each region. All of them pass reports on, so that a failed one is not
	 * missed before its registration expires.
	 */
	private static final int RELAYS_PER_REGION = 2;

	private static final String RANK_KEY = "load reports in ";

	public ReportRecipients {
		sameRegion = List.copyOf(sameRegion);
		relays = List.copyOf(relays);
	}

	/**
	 * Returns the recipients of the reports from one region. All loaders of the region
	 * compute the same ones from the same entries.
	 * @param entries all registered entries
	 * @param region region of the loader
	 * @return the recipients
	 */
	public static ReportRecipients of(Collection<EntryRecord> entries, String region) {
		Map<String, List<EntryRecord>> byRegion = new TreeMap<>();
		entries.forEach((entry) -> byRegion.computeIfAbsent(entry.region(), (absent) -> new ArrayList<>()).add(entry));
		List<EntryRecord> sameRegion = byRegion.getOrDefault(region, List.of());
		byRegion.remove(region);
		List<EntryRecord> relays = new ArrayList<>();
		byRegion.forEach((otherRegion, others) -> relays
			.addAll(RendezvousHash.rank(RANK_KEY + otherRegion, others, EntryRecord::instance)
				.subList(0, Math.min(RELAYS_PER_REGION, others.size()))));
		return new ReportRecipients(sameRegion, relays);
	}

}
