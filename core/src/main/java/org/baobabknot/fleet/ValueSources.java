package org.baobabknot.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.baobabknot.hashing.RendezvousHash;

/**
 * Processes from which a process reads the values that operators keep in the store. The
 * highest-ranked entries of a region read from the store, the other entries read from
 * these in a tree, and other processes read from the entries. When a large value changes
 * for all processes at the same moment, the link to the store carries a few copies
 * instead of one for each process.
 *
 * @param sources entries to read from in order of preference, empty for a process that
 * reads from the store
 * @param rank position of the process in its region; processes whose sources are
 * unavailable read from the store one after the other in this order
 */
public record ValueSources(List<EntryRecord> sources, int rank) {

	/**
	 * Entries of a region that read from the store; more than one, because one may fail
	 * at any time.
	 */
	private static final int STORE_READERS = 2;

	/** Entries that have the same entry as first source. */
	private static final int FAN_OUT = 10;

	/** Maximum number of sources of one process, which are tried one after the other. */
	private static final int MAX_SOURCES = 4;

	/** Entries of its own region that a starting entry asks before other regions. */
	private static final int FIRST_START_SOURCES = 2;

	/** Entries of its own region that a starting entry asks at most. */
	private static final int MAX_START_SOURCES = 8;

	public ValueSources {
		sources = List.copyOf(sources);
	}

	/**
	 * Returns the sources of an entry.
	 * @param entries all registered entries, with or without this one
	 * @param self the entry
	 * @return the sources
	 */
	public static ValueSources forEntry(Collection<EntryRecord> entries, EntryRecord self) {
		List<EntryRecord> sameRegion = inRegion(entries, self.region());
		sameRegion.removeIf((entry) -> entry.instance().equals(self.instance()));
		sameRegion.add(self);
		List<EntryRecord> ranked = RendezvousHash.rank(self.region(), sameRegion, EntryRecord::instance);
		int position = ranked.indexOf(self);
		List<EntryRecord> sources = new ArrayList<>();
		if (position >= STORE_READERS) {
			sources.add(ranked.get((position - STORE_READERS) / FAN_OUT));
			for (EntryRecord other : ranked.subList(0, position)) {
				if (sources.size() < MAX_SOURCES && !sources.contains(other)) {
					sources.add(other);
				}
			}
		}
		return new ValueSources(sources, position);
	}

	/**
	 * Returns the sources of a process that is not an entry. Such processes are
	 * distributed over all entries of their region.
	 * @param entries all registered entries
	 * @param region region of the process
	 * @param instance name of the process
	 * @return the sources, empty if no entry of the region is registered
	 */
	public static ValueSources forOtherProcess(Collection<EntryRecord> entries, String region, String instance) {
		List<EntryRecord> ranked = RendezvousHash.rank(instance, inRegion(entries, region), EntryRecord::instance);
		return new ValueSources(ranked.subList(0, Math.min(MAX_SOURCES, ranked.size())), ranked.size());
	}

	/**
	 * Returns the entries that a starting entry asks for what the store may have
	 * forgotten in a restore. They may be of any region: the entry may be the only one of
	 * its own, and none of the other ones has to have known more than the store.
	 * @param entries all other registered entries
	 * @param region region of the entry
	 * @param instance name of the entry
	 * @return the sources: some of the own region, one of each other region, then further
	 * ones of the own region, because several may just be starting as well
	 */
	public static ValueSources forStart(Collection<EntryRecord> entries, String region, String instance) {
		List<EntryRecord> ranked = RendezvousHash.rank(instance, List.copyOf(entries), EntryRecord::instance);
		List<EntryRecord> ofRegion = inRegion(ranked, region);
		int first = Math.min(FIRST_START_SOURCES, ofRegion.size());
		List<EntryRecord> sources = new ArrayList<>(ofRegion.subList(0, first));
		Set<String> regions = new HashSet<>(Set.of(region));
		ranked.stream().filter((entry) -> regions.add(entry.region())).forEach(sources::add);
		sources.addAll(ofRegion.subList(first, Math.min(MAX_START_SOURCES, ofRegion.size())));
		return new ValueSources(sources, sources.size());
	}

	private static List<EntryRecord> inRegion(Collection<EntryRecord> entries, String region) {
		List<EntryRecord> sameRegion = new ArrayList<>(entries);
		sameRegion.removeIf((entry) -> !entry.region().equals(region));
		return sameRegion;
	}

}
