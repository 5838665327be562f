package org.baobabknot.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * Versioned member list. Only higher versions are applied, so a delayed or repeated
 * update changes nothing. Reads use an immutable snapshot without a lock. Recent changes
 * are kept to be sent to peers. Thread-safe.
 */
public final class MembershipView {

	/**
	 * Number of updates kept for {@link #updateSince(long)}. At one change per second,
	 * peers that are up to four minutes behind get the changes instead of the complete
	 * list.
	 */
	private static final int MAX_KEPT_CHANGES = 256;

	private final Object lock = new Object();

	private final Deque<MemberUpdate> changes = new ArrayDeque<>();

	private final List<Consumer<MemberSnapshot>> listeners = new CopyOnWriteArrayList<>();

	private volatile MemberSnapshot snapshot = MemberSnapshot.of(0, new TreeMap<>());

	/**
	 * Applies an update if it leads to a higher version.
	 * @param update the update
	 * @return the result, with the version of the view
	 */
	public MemberUpdateResult apply(MemberUpdate update) {
		MemberSnapshot adopted;
		synchronized (this.lock) {
			MemberSnapshot current = this.snapshot;
			if (update.version() <= current.version()) {
				return new MemberUpdateResult.Outdated(current.version());
			}
			if (!update.full() && update.baseVersion() > current.version()) {
				return new MemberUpdateResult.Gap(current.version());
			}
			adopted = merge(current, update);
			this.snapshot = adopted;
		}
		this.listeners.forEach((listener) -> listener.accept(adopted));
		return new MemberUpdateResult.Applied(adopted.version());
	}

	private MemberSnapshot merge(MemberSnapshot current, MemberUpdate update) {
		Map<String, Member> members = new TreeMap<>();
		if (!update.full()) {
			members.putAll(current.byInstance());
		}
		for (Member member : update.members()) {
			if (member.state() == MemberState.GONE) {
				members.remove(member.instance());
			}
			else {
				members.put(member.instance(), member);
			}
		}
		if (update.full()) {
			this.changes.clear();
		}
		else {
			this.changes.addLast(update);
			if (this.changes.size() > MAX_KEPT_CHANGES) {
				this.changes.removeFirst();
			}
		}
		return MemberSnapshot.of(update.version(), members);
	}

	/**
	 * Returns the update for a peer with a lower version: the changes if they are still
	 * kept, the complete list otherwise.
	 * @param version version of the peer
	 * @return the update, or nothing if the peer is up to date
	 */
	public Optional<MemberUpdate> updateSince(long version) {
		synchronized (this.lock) {
			MemberSnapshot current = this.snapshot;
			if (version >= current.version()) {
				return Optional.empty();
			}
			Map<String, Member> changed = new TreeMap<>();
			boolean covered = false;
			for (MemberUpdate change : this.changes) {
				covered |= change.baseVersion() <= version;
				if (change.version() > version) {
					change.members().forEach((member) -> changed.put(member.instance(), member));
				}
			}
			if (version == 0 || !covered) {
				return Optional.of(MemberUpdate.full(current.version(), current.members()));
			}
			return Optional.of(MemberUpdate.changes(version, current.version(), new ArrayList<>(changed.values())));
		}
	}

	/**
	 * Returns the list as one consistent snapshot.
	 * @return the snapshot
	 */
	public MemberSnapshot current() {
		return this.snapshot;
	}

	/**
	 * Returns the version of the list.
	 * @return the version, 0 before the first update
	 */
	public long version() {
		return this.snapshot.version();
	}

	/**
	 * Returns live and leaving members.
	 * @return members in order of instance
	 */
	public List<Member> members() {
		return this.snapshot.members();
	}

	/**
	 * Returns a member.
	 * @param instance its instance
	 * @return the member, or nothing when it is not on the list
	 */
	public Optional<Member> member(String instance) {
		return this.snapshot.member(instance);
	}

	/**
	 * Returns the agents of a service in a failure domain, including leaving ones.
	 * @param service the service
	 * @param domain the failure domain
	 * @return members in order of instance
	 */
	public List<Member> agents(String service, String domain) {
		return this.snapshot.agents(service, domain);
	}

	/**
	 * Returns the agents of a service in all failure domains, including leaving ones.
	 * @param service the service
	 * @return members in order of instance
	 */
	public List<Member> agents(String service) {
		return this.snapshot.agents(service);
	}

	/**
	 * Returns the entries of a failure domain, including leaving ones.
	 * @param domain the failure domain
	 * @return members in order of instance
	 */
	public List<Member> entries(String domain) {
		return this.snapshot.entries(domain);
	}

	/**
	 * Adds a listener, called after each applied update without a lock held. Calls of
	 * concurrent updates can overlap; a listener that needs the latest list reads
	 * {@link #current()}.
	 * @param listener receives the snapshot after the update
	 */
	public void addListener(Consumer<MemberSnapshot> listener) {
		this.listeners.add(listener);
	}

}
