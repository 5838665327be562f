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
public record FollowOrder(List<EntryRecord> sources, int rank) {

	/** Entries of a region that read from the store: one may fail at any moment. */
	private static final int READERS = 2;

	/** Entries that read from the same one. */
	private static final int FAN_OUT = 10;

	/** Sources of one process, which are tried one after the other. */
	private static final int MOST_SOURCES = 4;

	public FollowOrder {
		sources = List.copyOf(sources);
	}

	/**
	 * Decides for an entry.
	 * @param entries all entries that are registered, with or without this one
	 * @param self the entry
	 * @return the order
	 */
	public static FollowOrder ofEntry(Collection<EntryRecord> entries, EntryRecord self) {
		List<EntryRecord> near = near(entries, self.region());
		near.removeIf((entry) -> entry.instance().equals(self.instance()));
		near.add(self);
		List<EntryRecord> ranked = RendezvousHash.rank(self.region(), near, EntryRecord::instance);
		int position = ranked.indexOf(self);
		List<EntryRecord> sources = new ArrayList<>();
		if (position >= READERS) {
			sources.add(ranked.get((position - READERS) / FAN_OUT));
			for (EntryRecord other : ranked.subList(0, position)) {
				if (sources.size() < MOST_SOURCES && !sources.contains(other)) {
					sources.add(other);
				}
			}
		}
		return new FollowOrder(sources, position);
	}

	/**
	 * Decides for a process that is no entry. Such processes spread over all entries of
	 * their region.
	 * @param entries all entries that are registered
	 * @param region region of the process
	 * @param instance name of the process
	 * @return the order, without sources if no entry of the region is registered
	 */
	public static FollowOrder ofOther(Collection<EntryRecord> entries, String region, String instance) {
		List<EntryRecord> ranked = RendezvousHash.rank(instance, near(entries, region), EntryRecord::instance);
		return new FollowOrder(ranked.subList(0, Math.min(MOST_SOURCES, ranked.size())), ranked.size());
	}

	private static List<EntryRecord> near(Collection<EntryRecord> entries, String region) {
		List<EntryRecord> near = new ArrayList<>(entries);
		near.removeIf((entry) -> !entry.region().equals(region));
		return near;
	}

}
