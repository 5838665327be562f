package org.baobabknot.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.jspecify.annotations.Nullable;

/**
 * Gossip table of one group of agents. For each instance the entry with the higher
 * incarnation, then the higher sequence number takes precedence, so entries can arrive
 * late, twice and in any order. The table also records which peers have acknowledged this
 * process, by sending back an entry of its incarnation. Thread-safe.
 */
public final class RolloutTable {

	private final String self;

	private final Map<String, Row> rows = new HashMap<>();

	private long lastStamp;

	/**
	 * Creates a table that holds only the entry of this agent.
	 * @param self instance of this agent
	 * @param incarnation incarnation of this process, higher than those of its
	 * predecessors
	 */
	public RolloutTable(String self, long incarnation) {
		this.self = self;
		put(new RolloutEntry(self, incarnation, 0, RolloutKey.NONE, RolloutPhase.FETCHING, 0), 0);
	}

	private Row put(RolloutEntry entry, long nowNanos) {
		Row previous = this.rows.get(entry.instance());
		long acknowledged = (previous != null && previous.entry.incarnation() == entry.incarnation())
				? previous.acknowledgedSequence : -1;
		Row row = new Row(entry, ++this.lastStamp, nowNanos, acknowledged);
		this.rows.put(entry.instance(), row);
		return row;
	}

	/**
	 * Announces the state of this agent if it differs from the last announcement.
	 * @param key the rollout
	 * @param phase the phase
	 * @param moveBackCount how often this agent moved behind the others in this rollout
	 */
	public synchronized void announce(RolloutKey key, RolloutPhase phase, int moveBackCount) {
		RolloutEntry ownEntry = ownEntry();
		if (!ownEntry.key().equals(key) || ownEntry.phase() != phase || ownEntry.moveBackCount() != moveBackCount) {
			put(new RolloutEntry(this.self, ownEntry.incarnation(), ownEntry.sequence() + 1, key, phase, moveBackCount),
					0);
		}
	}

	/**
	 * Merges entries from a peer. An acknowledgement of this process counts only when the
	 * sender's own entry is among them.
	 * @param sender instance that sent the entries
	 * @param entries the entries
	 * @param nowNanos monotonic time
	 * @return the entries that were new to this table
	 */
	public synchronized List<RolloutEntry> merge(String sender, List<RolloutEntry> entries, long nowNanos) {
		List<RolloutEntry> newEntries = new ArrayList<>();
		@Nullable RolloutEntry echoedEntry = null;
		@Nullable RolloutEntry senderEntry = null;
		for (RolloutEntry entry : entries) {
			if (entry.instance().equals(this.self)) {
				echoedEntry = entry;
				continue;
			}
			senderEntry = entry.instance().equals(sender) ? entry : senderEntry;
			Row row = this.rows.get(entry.instance());
			if (row == null || entry.isNewerThan(row.entry)) {
				put(entry, nowNanos);
				newEntries.add(entry);
			}
		}
		if (echoedEntry != null && senderEntry != null && echoedEntry.incarnation() == ownEntry().incarnation()) {
			recordAcknowledgement(senderEntry, echoedEntry.sequence());
		}
		return newEntries;
	}

	private void recordAcknowledgement(RolloutEntry senderEntry, long sequence) {
		Row row = this.rows.get(senderEntry.instance());
		if (row != null && row.entry.incarnation() == senderEntry.incarnation()) {
			row.acknowledgedSequence = Math.max(row.acknowledgedSequence, sequence);
		}
	}

	/**
	 * Returns the entries to send to a peer: those that changed since the last delta and,
	 * if there are any, also the entries of this agent and of the peer. The latter
	 * acknowledges the peer.
	 * @param peer instance of the receiver
	 * @param afterStamp stamp of the last delta for this peer; 0 sends all
	 * @return the entries
	 */
	public synchronized RolloutDelta delta(String peer, long afterStamp) {
		List<RolloutEntry> entries = new ArrayList<>();
		boolean anyChanged = false;
		for (Row row : this.rows.values()) {
			boolean changedSinceStamp = row.stamp > afterStamp;
			anyChanged |= changedSinceStamp;
			if (changedSinceStamp || row.entry.instance().equals(this.self) || row.entry.instance().equals(peer)) {
				entries.add(row.entry);
			}
		}
		return new RolloutDelta(this.lastStamp, anyChanged ? entries : List.of());
	}

	/**
	 * Returns the key of the rollout that the rules request. Processes that skipped
	 * revisions use another epoch for the same version; the highest epoch that does not
	 * exceed the given revision is used, so all agree once they have the same revision.
	 * @param version the requested version
	 * @param revision the rules revision in force
	 * @return the key to announce
	 */
	public synchronized RolloutKey keyFor(String version, long revision) {
		RolloutKey ownKey = ownEntry().key();
		if (!ownKey.version().equals(version)) {
			return new RolloutKey(version, revision);
		}
		long epoch = ownKey.epoch();
		for (Row row : this.rows.values()) {
			RolloutKey key = row.entry.key();
			if (key.version().equals(version) && key.epoch() <= revision) {
				epoch = Math.max(epoch, key.epoch());
			}
		}
		return new RolloutKey(version, epoch);
	}

	/**
	 * Removes an agent that has left the member list.
	 * @param instance the agent
	 */
	public synchronized void remove(String instance) {
		if (!instance.equals(this.self)) {
			this.rows.remove(instance);
		}
	}

	/**
	 * Returns the entry of this agent.
	 * @return the entry
	 */
	public synchronized RolloutEntry ownEntry() {
		return this.rows.get(this.self).entry;
	}

	/**
	 * Returns the entry of an agent.
	 * @param instance the agent
	 * @return the entry, or empty before the first one arrived
	 */
	public synchronized Optional<RolloutEntry> entry(String instance) {
		return Optional.ofNullable(this.rows.get(instance)).map((row) -> row.entry);
	}

	/**
	 * Returns the state of all other agents in the table.
	 * @return one state for each agent
	 */
	public synchronized List<PeerState> peerStates() {
		List<PeerState> states = new ArrayList<>(this.rows.size());
		for (Row row : this.rows.values()) {
			if (!row.entry.instance().equals(this.self)) {
				states.add(new PeerState(row.entry, row.receivedNanos, row.acknowledgedSequence >= 0));
			}
		}
		return states;
	}

	/**
	 * State of another agent.
	 *
	 * @param entry the latest entry of the agent
	 * @param receivedNanos monotonic time at which that entry arrived
	 * @param acknowledged whether this incarnation of the agent has acknowledged this
	 * process
	 */
	public record PeerState(RolloutEntry entry, long receivedNanos, boolean acknowledged) {
	}

	private static final class Row {

		private final RolloutEntry entry;

		private final long stamp;

		private final long receivedNanos;

		private long acknowledgedSequence;

		private Row(RolloutEntry entry, long stamp, long heardNanos, long acknowledged) {
			this.entry = entry;
			this.stamp = stamp;
			this.receivedNanos = heardNanos;
			this.acknowledgedSequence = acknowledged;
		}

	}

}
