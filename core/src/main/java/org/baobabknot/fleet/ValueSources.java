package org.baobabknot.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import org.baobabknot.hashing.RendezvousHash;

/**
 * From whom a process reads what operators have stored. The first entries of a region
 * read it from the store, the others from these in a tree, so that the link to the store
 * carries a few copies instead of one for each process. Answers the load of a large value
 * that changes for all processes at the same moment.
 *
 * @param sources entries to ask, best first, none for a process that reads from the store
 * @param rank position of the process in its region, by which processes that lost their
 * sources turn to the store one after the other
 */
public record ValueSources(List<EntryRecord> sources, int rank) {

	/** Entries of a region that read from the store: one may fail at any moment. */
	private static final int STORE_READERS = 2;

	/** Entries that read from the same one. */
	private static final int FAN_OUT = 10;

	/** Sources of one process, which are tried one after the other. */
	private static final int MAX_SOURCES = 4;

	public ValueSources {
		sources = List.copyOf(sources);
	}

	/**
	 * Decides for an entry.
	 * @param entries all entries that are registered, with or without this one
	 * @param self the entry
	 * @return the order
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
	 * Decides for a process that is no entry. Such processes spread over all entries of
	 * their region.
	 * @param entries all entries that are registered
	 * @param region region of the process
	 * @param instance name of the process
	 * @return the order, without sources if no entry of the region is registered
	 */
	public static ValueSources forOtherProcess(Collection<EntryRecord> entries, String region, String instance) {
		List<EntryRecord> ranked = RendezvousHash.rank(instance, inRegion(entries, region), EntryRecord::instance);
		return new ValueSources(ranked.subList(0, Math.min(MAX_SOURCES, ranked.size())), ranked.size());
	}

	private static List<EntryRecord> inRegion(Collection<EntryRecord> entries, String region) {
		List<EntryRecord> sameRegion = new ArrayList<>(entries);
		sameRegion.removeIf((entry) -> !entry.region().equals(region));
		return sameRegion;
	}

}
