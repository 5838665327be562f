package org.baobabknot.rollout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.baobabknot.hashing.RendezvousHash;

/**
 * Decides when an agent may take its target out to switch versions. Agents are ordered by
 * lateness, then by rendezvous hash of the version. An agent counts every other agent of
 * its group as possibly out, except those of which it knows that they are DONE with, or
 * come after it in, the same rollout, and that know of this process.
 * <p>
 * At most {@code out} agents are out at once, whatever the age of the gossip. Of the
 * agents that are out, take the one that is last in the order. It counted all the others
 * when it switched: what it knew of their lateness and phase was at most as advanced as
 * the truth, and an agent in another rollout counts always. So there were fewer than
 * {@code out} others. The lateness of an agent is announced by the agent itself and never
 * inferred by others from the time, because an agent with older gossip would start its
 * own time-out later and still switch in its former place.
 * <p>
 * Only agents that left the member list are dropped after a time-out. Not thread-safe;
 * one thread decides for one agent.
 */
public final class SwitchScheduler {

	private final long skipTimeoutNanos;

	private final Map<String, Long> lastListedNanos = new HashMap<>();

	private RolloutKey permittedRollout = RolloutKey.NONE;

	private long permittedSinceNanos = -1;

	/**
	 * Creates the decision for one agent.
	 * @param skipTimeoutNanos time after which an agent that left the member list and is
	 * silent is skipped; an agent that is not ready moves back after half of it
	 */
	public SwitchScheduler(long skipTimeoutNanos) {
		this.skipTimeoutNanos = skipTimeoutNanos;
	}

	/**
	 * Decides what the agent of a view does next.
	 * @param table the gossip of the group
	 * @param listedAgents live agents of the group on the member list
	 * @param maxOut number of agents of the group that may be out at once
	 * @param nowNanos monotonic time
	 * @return the decision
	 */
	public SwitchDecision decide(RolloutTable table, Collection<String> listedAgents, int maxOut, long nowNanos) {
		// Recorded in every phase: an agent that has just started a rollout must not take
		// members that vanished a moment ago for long gone.
		listedAgents.forEach((instance) -> this.lastListedNanos.put(instance, nowNanos));
		RolloutEntry ownEntry = table.ownEntry();
		if (ownEntry.phase() == RolloutPhase.OUT || ownEntry.phase() == RolloutPhase.DONE) {
			return new SwitchDecision.Wait("phase is " + ownEntry.phase());
		}
		if (!listedAgents.contains(ownEntry.instance())) {
			return new SwitchDecision.Wait("not on the member list");
		}
		List<String> blockingAgents = findBlockingAgents(table, ownEntry, listedAgents, nowNanos);
		if (blockingAgents.size() >= maxOut) {
			this.permittedSinceNanos = -1;
			return new SwitchDecision.Wait(
					"%d may be out, %d come first: %s".formatted(maxOut, blockingAgents.size(), blockingAgents.get(0)));
		}
		if (ownEntry.phase() == RolloutPhase.READY) {
			return new SwitchDecision.Switch();
		}
		return waitOrMoveBack(ownEntry, nowNanos);
	}

	private SwitchDecision waitOrMoveBack(RolloutEntry ownEntry, long nowNanos) {
		if (this.permittedSinceNanos < 0 || !this.permittedRollout.equals(ownEntry.key())) {
			this.permittedRollout = ownEntry.key();
			this.permittedSinceNanos = nowNanos;
		}
		if (nowNanos - this.permittedSinceNanos < this.skipTimeoutNanos / 2) {
			return new SwitchDecision.Wait("not ready");
		}
		this.permittedSinceNanos = -1;
		return new SwitchDecision.MoveBack(ownEntry.moveBackCount() + 1);
	}

	private List<String> findBlockingAgents(RolloutTable table, RolloutEntry ownEntry, Collection<String> listedAgents,
			long nowNanos) {
		List<String> blockingAgents = new ArrayList<>();
		Set<String> knownAgents = new HashSet<>();
		for (RolloutTable.PeerState peer : table.peerStates()) {
			knownAgents.add(peer.entry().instance());
			if (!isExpired(peer, listedAgents, nowNanos)) {
				String reason = blockingReason(peer, ownEntry);
				if (!reason.isEmpty()) {
					blockingAgents.add(peer.entry().instance() + " " + reason);
				}
			}
		}
		for (String instance : listedAgents) {
			if (!knownAgents.contains(instance) && !instance.equals(ownEntry.instance())) {
				blockingAgents.add(instance + " has announced nothing");
			}
		}
		return blockingAgents;
	}

	private boolean isExpired(RolloutTable.PeerState peer, Collection<String> listedAgents, long nowNanos) {
		String instance = peer.entry().instance();
		if (listedAgents.contains(instance)) {
			return false;
		}
		long lastSeenNanos = Math.max(peer.receivedNanos(),
				this.lastListedNanos.getOrDefault(instance, peer.receivedNanos()));
		return nowNanos - lastSeenNanos >= this.skipTimeoutNanos;
	}

	private static String blockingReason(RolloutTable.PeerState peer, RolloutEntry ownEntry) {
		RolloutEntry entry = peer.entry();
		if (!peer.acknowledged()) {
			return "has not acknowledged this process";
		}
		if (!entry.key().equals(ownEntry.key())) {
			return "is in the rollout of " + entry.key();
		}
		if (entry.phase() == RolloutPhase.DONE) {
			return "";
		}
		if (entry.phase() == RolloutPhase.OUT) {
			return "is out";
		}
		return ranksBefore(entry, ownEntry) ? "comes first" : "";
	}

	private static boolean ranksBefore(RolloutEntry left, RolloutEntry right) {
		if (left.moveBackCount() != right.moveBackCount()) {
			return left.moveBackCount() < right.moveBackCount();
		}
		String version = left.key().version();
		int byScore = Long.compareUnsigned(RendezvousHash.score(version, left.instance()),
				RendezvousHash.score(version, right.instance()));
		return (byScore != 0) ? byScore > 0 : left.instance().compareTo(right.instance()) < 0;
	}

}
