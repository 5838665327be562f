package org.baobabknot.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.jspecify.annotations.Nullable;

/**
 * Gossip table of one group. The higher incarnation, then the higher sequence number of
 * an instance wins, so entries can arrive late, twice and in any order. Also records
 * which peers have acknowledged this process: a peer acknowledges by sending back an
 * entry of this incarnation. Thread-safe.
 */
public final class RolloutView {

	private final String self;

	private final Map<String, Row> rows = new HashMap<>();

	private long stamp;

	/**
	 * Creates a view that holds only its own entry.
	 * @param self instance of this agent
	 * @param incarnation incarnation of this process, higher than those of its
	 * predecessors
	 */
	public RolloutView(String self, long incarnation) {
		this.self = self;
		put(new RolloutEntry(self, incarnation, 0, RolloutKey.NONE, RolloutPhase.FETCHING, 0), 0);
	}

	private Row put(RolloutEntry entry, long nowNanos) {
		Row before = this.rows.get(entry.instance());
		long acknowledged = (before != null && before.entry.incarnation() == entry.incarnation()) ? before.acknowledged
				: -1;
		Row row = new Row(entry, ++this.stamp, nowNanos, acknowledged);
		this.rows.put(entry.instance(), row);
		return row;
	}

	/**
	 * Announces the state of this agent, if it differs from the last announcement.
	 * @param key the rollout
	 * @param phase the phase
	 * @param late how often this agent moved behind the others
	 */
	public synchronized void announce(RolloutKey key, RolloutPhase phase, int late) {
		RolloutEntry own = own();
		if (!own.key().equals(key) || own.phase() != phase || own.late() != late) {
			put(new RolloutEntry(this.self, own.incarnation(), own.sequence() + 1, key, phase, late), 0);
		}
	}

	/**
	 * Merges entries from a peer. The entry of the sender must be among them when the
	 * sender acknowledges this process.
	 * @param sender instance that sent the entries
	 * @param entries its entries
	 * @param nowNanos monotonic time
	 * @return the entries that were new to this view
	 */
	public synchronized List<RolloutEntry> tryMerge(String sender, List<RolloutEntry> entries, long nowNanos) {
		List<RolloutEntry> news = new ArrayList<>();
		@Nullable RolloutEntry echo = null;
		@Nullable RolloutEntry ofSender = null;
		for (RolloutEntry entry : entries) {
			if (entry.instance().equals(this.self)) {
				echo = entry;
				continue;
			}
			ofSender = entry.instance().equals(sender) ? entry : ofSender;
			Row row = this.rows.get(entry.instance());
			if (row == null || entry.newerThan(row.entry)) {
				put(entry, nowNanos);
				news.add(entry);
			}
		}
		if (echo != null && ofSender != null && echo.incarnation() == own().incarnation()) {
			acknowledge(ofSender, echo.sequence());
		}
		return news;
	}

	private void acknowledge(RolloutEntry ofSender, long sequence) {
		Row row = this.rows.get(ofSender.instance());
		if (row != null && row.entry.incarnation() == ofSender.incarnation()) {
			row.acknowledged = Math.max(row.acknowledged, sequence);
		}
	}

	/**
	 * Returns what a peer lacks: entries that changed since the last delta, and whenever
	 * there is any, also the own entry and that of the peer, by which the peer learns
	 * that it is acknowledged.
	 * @param peer instance of the receiver
	 * @param afterStamp stamp of the last delta for this peer; 0 sends all
	 * @return the entries
	 */
	public synchronized RolloutDelta delta(String peer, long afterStamp) {
		List<RolloutEntry> changed = new ArrayList<>();
		boolean any = false;
		for (Row row : this.rows.values()) {
			boolean fresh = row.stamp > afterStamp;
			any |= fresh;
			if (fresh || row.entry.instance().equals(this.self) || row.entry.instance().equals(peer)) {
				changed.add(row.entry);
			}
		}
		return new RolloutDelta(this.stamp, any ? changed : List.of());
	}

	/**
	 * Returns the key of the rollout that the rules ask for. Processes that skipped
	 * revisions know another epoch for the same version; the highest one that is covered
	 * by the own revision wins, so all agree once they have the same revision.
	 * @param version the version asked for
	 * @param revision the rules revision in force
	 * @return the key to announce
	 */
	public synchronized RolloutKey keyFor(String version, long revision) {
		RolloutKey own = own().key();
		if (!own.version().equals(version)) {
			return new RolloutKey(version, revision);
		}
		long epoch = own.epoch();
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
	public synchronized void forget(String instance) {
		if (!instance.equals(this.self)) {
			this.rows.remove(instance);
		}
	}

	/**
	 * Returns the own entry.
	 * @return the entry
	 */
	public synchronized RolloutEntry own() {
		return this.rows.get(this.self).entry;
	}

	/**
	 * Returns the entry of an agent.
	 * @param instance the agent
	 * @return the entry, or nothing before the first one arrived
	 */
	public synchronized Optional<RolloutEntry> entry(String instance) {
		return Optional.ofNullable(this.rows.get(instance)).map((row) -> row.entry);
	}

	/**
	 * Returns what is known of all other agents.
	 * @return one report for each
	 */
	public synchronized List<PeerReport> peers() {
		List<PeerReport> reports = new ArrayList<>(this.rows.size());
		for (Row row : this.rows.values()) {
			if (!row.entry.instance().equals(this.self)) {
				reports.add(new PeerReport(row.entry, row.heardNanos, row.acknowledged >= 0));
			}
		}
		return reports;
	}

	/**
	 * What is known of another agent.
	 *
	 * @param entry its latest entry
	 * @param heardNanos when that entry arrived
	 * @param acknowledged whether this incarnation of the agent has acknowledged this
	 * process
	 */
	public record PeerReport(RolloutEntry entry, long heardNanos, boolean acknowledged) {
	}

	private static final class Row {

		private final RolloutEntry entry;

		private final long stamp;

		private final long heardNanos;

		private long acknowledged;

		private Row(RolloutEntry entry, long stamp, long heardNanos, long acknowledged) {
			this.entry = entry;
			this.stamp = stamp;
			this.heardNanos = heardNanos;
			this.acknowledged = acknowledged;
		}

	}

}
