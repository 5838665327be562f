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
 * Decides when an agent may take its target out of service to switch versions. Agents are
 * ordered by move-back count, then by rendezvous hash of the version. An agent counts
 * every other agent of its group as possibly out, except agents that have acknowledged
 * this process and are either DONE with the same rollout or ordered after this one in it.
 * Not thread-safe; one thread decides for one agent.
 * <p>
 * At most {@code maxOut} agents are out at once, whatever the age of the gossip. Proof:
 * of the agents that are out, consider the one that is last in the order. It counted all
 * the others when it switched, since the move-back counts and phases in its table were at
 * most as advanced as the actual ones, and an agent in another rollout always counts. So
 * there were fewer than {@code maxOut} others.
 * <p>
 * An agent announces its own move-back count. Other agents never infer it from a timeout,
 * because an agent with older gossip would start its own timeout later and still switch
 * in its former position.
 * <p>
 * Only agents that left the member list are dropped after a timeout.
 */
public final class SwitchScheduler {

	private final long skipTimeoutNanos;

	private final Map<String, Long> lastListedNanos = new HashMap<>();

	private RolloutKey permittedRollout = RolloutKey.NONE;

	private long permittedSinceNanos = -1;

	/**
	 * Creates the scheduler of one agent.
	 * @param skipTimeoutNanos time after which an agent that left the member list and
	 * sends no entries is skipped; an agent that is not ready moves back after half of it
	 */
	public SwitchScheduler(long skipTimeoutNanos) {
		this.skipTimeoutNanos = skipTimeoutNanos;
	}

	/**
	 * Decides the next action of the agent to which a table belongs.
	 * @param table the gossip table of the group
	 * @param listedAgents live agents of the group on the member list
	 * @param maxOut largest number of agents of the group that may be out at once
	 * @param nowNanos monotonic time
	 * @return the decision
	 */
	public SwitchDecision decide(RolloutTable table, Collection<String> listedAgents, int maxOut, long nowNanos) {
		// Recorded in every phase, since an agent that has just started a rollout must
		// not treat members that vanished a moment ago as expired.
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
			return new SwitchDecision.Wait("%d agents may be out, blocked by %d: %s".formatted(maxOut,
					blockingAgents.size(), blockingAgents.get(0)));
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
		return ranksBefore(entry, ownEntry) ? "precedes this agent in the order" : "";
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
