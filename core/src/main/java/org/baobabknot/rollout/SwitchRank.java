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
public final class SwitchRank {

	private final long skipNanos;

	private final Map<String, Long> lastListed = new HashMap<>();

	private RolloutKey turnOf = RolloutKey.NONE;

	private long turnSince = -1;

	/**
	 * Creates the decision for one agent.
	 * @param skipNanos time after which an agent that left the member list and is silent
	 * is skipped; an agent that is not ready moves back after half of it
	 */
	public SwitchRank(long skipNanos) {
		this.skipNanos = skipNanos;
	}

	/**
	 * Decides what the agent of a view does next.
	 * @param view the gossip of the group
	 * @param listed live agents of the group on the member list
	 * @param out number of agents of the group that may be out at once
	 * @param nowNanos monotonic time
	 * @return the decision
	 */
	public SwitchDecision decide(RolloutView view, Collection<String> listed, int out, long nowNanos) {
		// Recorded in every phase: an agent that has just started a rollout must not take
		// members that vanished a moment ago for long gone.
		listed.forEach((instance) -> this.lastListed.put(instance, nowNanos));
		RolloutEntry own = view.own();
		if (own.phase() == RolloutPhase.OUT || own.phase() == RolloutPhase.DONE) {
			return new SwitchDecision.Wait("phase is " + own.phase());
		}
		if (!listed.contains(own.instance())) {
			return new SwitchDecision.Wait("not on the member list");
		}
		List<String> blocking = blocking(view, own, listed, nowNanos);
		if (blocking.size() >= out) {
			this.turnSince = -1;
			return new SwitchDecision.Wait(
					"%d may be out, %d come first: %s".formatted(out, blocking.size(), blocking.get(0)));
		}
		if (own.phase() == RolloutPhase.READY) {
			return new SwitchDecision.Switch();
		}
		return waitOrMoveBack(own, nowNanos);
	}

	private SwitchDecision waitOrMoveBack(RolloutEntry own, long nowNanos) {
		if (this.turnSince < 0 || !this.turnOf.equals(own.key())) {
			this.turnOf = own.key();
			this.turnSince = nowNanos;
		}
		if (nowNanos - this.turnSince < this.skipNanos / 2) {
			return new SwitchDecision.Wait("not ready");
		}
		this.turnSince = -1;
		return new SwitchDecision.MoveBack(own.late() + 1);
	}

	private List<String> blocking(RolloutView view, RolloutEntry own, Collection<String> listed, long nowNanos) {
		List<String> blocking = new ArrayList<>();
		Set<String> heard = new HashSet<>();
		for (RolloutView.PeerReport peer : view.peers()) {
			heard.add(peer.entry().instance());
			if (!expired(peer, listed, nowNanos)) {
				String reason = reason(peer, own);
				if (!reason.isEmpty()) {
					blocking.add(peer.entry().instance() + " " + reason);
				}
			}
		}
		for (String instance : listed) {
			if (!heard.contains(instance) && !instance.equals(own.instance())) {
				blocking.add(instance + " has announced nothing");
			}
		}
		return blocking;
	}

	private boolean expired(RolloutView.PeerReport peer, Collection<String> listed, long nowNanos) {
		String instance = peer.entry().instance();
		if (listed.contains(instance)) {
			return false;
		}
		long seen = Math.max(peer.heardNanos(), this.lastListed.getOrDefault(instance, peer.heardNanos()));
		return nowNanos - seen >= this.skipNanos;
	}

	private static String reason(RolloutView.PeerReport peer, RolloutEntry own) {
		RolloutEntry entry = peer.entry();
		if (!peer.acknowledged()) {
			return "has not acknowledged this process";
		}
		if (!entry.key().equals(own.key())) {
			return "is in the rollout of " + entry.key();
		}
		if (entry.phase() == RolloutPhase.DONE) {
			return "";
		}
		if (entry.phase() == RolloutPhase.OUT) {
			return "is out";
		}
		return before(entry, own) ? "comes first" : "";
	}

	private static boolean before(RolloutEntry left, RolloutEntry right) {
		if (left.late() != right.late()) {
			return left.late() < right.late();
		}
		String version = left.key().version();
		int byScore = Long.compareUnsigned(RendezvousHash.score(version, left.instance()),
				RendezvousHash.score(version, right.instance()));
		return (byScore != 0) ? byScore > 0 : left.instance().compareTo(right.instance()) < 0;
	}

}
