package org.baobabknot.distribution;

/**
 * The next action of an agent for a version. Every fetch ends with one call of
 * {@link DistributionPlanner#recordStored} or {@link DistributionPlanner#recordFailure}.
 */
public sealed interface FetchCommand {

	/**
	 * Fetch a chunk from the origin.
	 *
	 * @param index the chunk
	 */
	record FetchFromOrigin(int index) implements FetchCommand {
	}

	/**
	 * Fetch a chunk from another agent.
	 *
	 * @param index the chunk
	 * @param instance the agent
	 * @param fromOtherDomain whether the chunk comes from another failure domain
	 */
	record FetchFromPeer(int index, String instance, boolean fromOtherDomain) implements FetchCommand {
	}

	/**
	 * Start no fetch now.
	 *
	 * @param reason the reason, shown to operators
	 */
	record Wait(String reason) implements FetchCommand {
	}

}
