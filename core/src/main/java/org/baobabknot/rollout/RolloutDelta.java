package org.baobabknot.rollout;

import java.util.List;

/**
 * Entries to send to one peer.
 *
 * @param stamp pass it to the next {@link RolloutTable#delta} for the same peer
 * @param entries the entries; empty when the peer has all
 */
public record RolloutDelta(long stamp, List<RolloutEntry> entries) {

	public RolloutDelta {
		entries = List.copyOf(entries);
	}

}
