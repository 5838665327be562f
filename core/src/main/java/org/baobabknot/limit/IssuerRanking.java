package org.baobabknot.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.baobabknot.fleet.EntryRecord;
import org.baobabknot.hashing.RendezvousHash;

/**
 * Which entry issues the permits for a target. The entries of the target's region are
 * ranked by rendezvous hash, so that a failure domain that is cut off keeps the issuers
 * of its targets; while the region has none, those of all regions are. The first one is
 * the sole issuer while three things are shown: its registration holds, so that no other
 * entry can have missed it in the list; its list is recent, so that no other entry can
 * have been ranked before it unnoticed; and all other entries have confirmed that they
 * know it, or had the time to read the list. Those of other regions count as well,
 * because any of them issues permits for a region in which it knows no entry. Confined to
 * one thread.
 */
public final class IssuerRanking {

	/** Issuers of a target: the first one, and one for entries that do not reach it. */
	private static final int ISSUERS = 2;

	/** Time in which all entries read the list again. */
	private static final long SETTLING_NANOS = TimeUnit.SECONDS.toNanos(20);

	/** Age of the list up to which no settled entry can be missing. */
	private static final long MAX_LIST_AGE_NANOS = TimeUnit.SECONDS.toNanos(16);

	/**
	 * Time for which a notice of an entry goes before the list, which is read more often.
	 */
	private static final long NOTICE_NANOS = TimeUnit.SECONDS.toNanos(30);

	/** Rankings that are remembered. */
	private static final int MAX_RANKINGS = 8_192;

	private final EntryRecord self;

	private List<EntryRecord> listed = List.of();

	private final Map<String, Notice> announced = new HashMap<>();

	private final Map<String, Notice> departed = new HashMap<>();

	private final Map<Long, List<EntryRecord>> rankings = new LinkedHashMap<>();

	private Set<String> awaited = new HashSet<>();

	private boolean listKnown;

	/** Whether the list was read since this process is registered. */
	private boolean othersKnown;

	private long listNanos;

	private boolean registered;

	private long registeredNanos;

	private long registeredUntilNanos;

	private boolean leaving;

	/**
	 * Creates a ranking that knows no entries.
	 * @param self the entry of this process
	 */
	public IssuerRanking(EntryRecord self) {
		this.self = self;
	}

	/**
	 * Records that the list of entries was read.
	 * @param entries all registered entries
	 * @param nowNanos monotonic time at which it was read
	 */
	public void recordList(List<EntryRecord> entries, long nowNanos) {
		if (entries == this.listed && nowNanos == this.listNanos) {
			return;
		}
		this.listNanos = nowNanos;
		List<EntryRecord> previous = this.listed;
		this.listed = entries;
		Set<String> names = new HashSet<>();
		entries.forEach((entry) -> names.add(entry.instance()));
		boolean changed = !entries.equals(previous) | this.announced.keySet().removeIf(names::contains)
				| this.announced.values().removeIf((notice) -> notice.expired(nowNanos))
				| this.departed.keySet().retainAll(names)
				| this.departed.values().removeIf((notice) -> notice.expired(nowNanos));
		this.listKnown = true;
		// Entries that registered while this one was not listed are among these.
		if (this.registered && !this.othersKnown && nowNanos - this.registeredNanos >= 0
				&& names.contains(this.self.instance())) {
			this.othersKnown = true;
			this.awaited = new HashSet<>(others());
		}
		if (changed) {
			this.rankings.clear();
			this.awaited.retainAll(names);
		}
	}

	private List<String> others() {
		return this.listed.stream()
			.map(EntryRecord::instance)
			.filter((name) -> !name.equals(this.self.instance()))
			.toList();
	}

	/**
	 * Records until when the registration of this process holds. One that has lapsed may
	 * have been missing in the lists of others.
	 * @param untilNanos monotonic time until which the store keeps it in any case
	 * @param nowNanos monotonic time
	 */
	public void recordRegistration(long untilNanos, long nowNanos) {
		boolean lapsed = this.registered && nowNanos - this.registeredUntilNanos >= 0;
		this.registeredUntilNanos = untilNanos;
		if (nowNanos - untilNanos >= 0) {
			this.registered = false;
		}
		else if (!this.registered || lapsed) {
			this.registered = true;
			this.registeredNanos = nowNanos;
			this.othersKnown = false;
		}
	}

	/**
	 * Records that this process is not registered, because it has not been or because the
	 * store may have forgotten it.
	 */
	public void recordUnregistered() {
		this.registered = false;
	}

	/**
	 * Records that this process stops, so that it is no issuer any more.
	 */
	public void leave() {
		this.leaving = true;
	}

	/**
	 * Records that another entry has begun to issue permits.
	 * @param entry the entry
	 * @param nowNanos monotonic time
	 */
	public void recordAnnounced(EntryRecord entry, long nowNanos) {
		this.departed.remove(entry.instance());
		if (!this.listed.contains(entry)) {
			this.announced.put(entry.instance(), new Notice(entry, nowNanos));
		}
		this.rankings.clear();
	}

	/**
	 * Records that another entry issues no permits any more.
	 * @param entry the entry
	 * @param nowNanos monotonic time
	 */
	public void recordDeparted(EntryRecord entry, long nowNanos) {
		this.announced.remove(entry.instance());
		this.departed.put(entry.instance(), new Notice(entry, nowNanos));
		this.awaited.remove(entry.instance());
		this.rankings.clear();
	}

	/**
	 * Records that another entry takes this process into account.
	 * @param instance name of the entry
	 */
	public void recordConfirmed(String instance) {
		this.awaited.remove(instance);
	}

	/**
	 * Returns the entries that have not confirmed yet that they know this process.
	 * @return the entries
	 */
	public List<EntryRecord> awaited() {
		return this.listed.stream().filter((entry) -> this.awaited.contains(entry.instance())).toList();
	}

	/**
	 * Returns the entries that issue permits for a target, the preferred one first.
	 * @param region region of the target
	 * @param target start of the target, as a hash
	 * @return at most two entries, none before the list was read
	 */
	public List<EntryRecord> issuers(String region, long target) {
		List<EntryRecord> known = this.rankings.get(target);
		if (known != null) {
			return known;
		}
		if (this.rankings.size() >= MAX_RANKINGS) {
			this.rankings.clear();
		}
		List<EntryRecord> all = new ArrayList<>(this.listed);
		this.announced.values().forEach((notice) -> all.add(notice.entry()));
		all.removeIf((entry) -> this.departed.containsKey(entry.instance()));
		List<EntryRecord> ofRegion = all.stream().filter((entry) -> entry.region().equals(region)).toList();
		List<EntryRecord> ranked = RendezvousHash.rank(Long.toHexString(target), (ofRegion.isEmpty()) ? all : ofRegion,
				EntryRecord::instance);
		List<EntryRecord> issuers = List.copyOf(ranked.subList(0, Math.min(ISSUERS, ranked.size())));
		this.rankings.put(target, issuers);
		return issuers;
	}

	/**
	 * Returns the role in which this process issues permits for a target.
	 * @param region region of the target
	 * @param target start of the target, as a hash
	 * @param nowNanos monotonic time
	 * @return the role
	 */
	public IssuerRole role(String region, long target, long nowNanos) {
		if (!this.listKnown) {
			return IssuerRole.ALONE;
		}
		List<EntryRecord> issuers = issuers(region, target);
		boolean first = !issuers.isEmpty() && issuers.get(0).instance().equals(this.self.instance());
		boolean shown = !this.leaving && this.registered && nowNanos - this.registeredUntilNanos < 0
				&& nowNanos - this.listNanos < MAX_LIST_AGE_NANOS && settled(nowNanos);
		return (first && shown) ? IssuerRole.SOLE : IssuerRole.REDUCED;
	}

	private boolean settled(long nowNanos) {
		return (this.othersKnown && this.awaited.isEmpty()) || nowNanos - this.registeredNanos > SETTLING_NANOS;
	}

	/** What another entry has said about itself. */
	private record Notice(EntryRecord entry, long receivedNanos) {

		boolean expired(long nowNanos) {
			return nowNanos - this.receivedNanos > NOTICE_NANOS;
		}

	}

}
