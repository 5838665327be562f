package org.baobabknot.rollout;

import java.util.List;

/**
 * Entries to send to one peer.
 *
 * @param stamp value to pass to the next {@link RolloutTable#delta} for the same peer
 * @param entries the entries; empty when nothing changed since the last delta
 */
public record RolloutDelta(long stamp, List<RolloutEntry> entries) {

	public RolloutDelta {
		entries = List.copyOf(entries);
	}

}
