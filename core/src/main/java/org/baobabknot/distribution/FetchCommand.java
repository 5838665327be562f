package org.baobabknot.distribution;

/**
 * What an agent does next for a version. Every fetch ends with one call of
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
	 * Nothing can start now.
	 *
	 * @param reason why, for operators
	 */
	record Wait(String reason) implements FetchCommand {
	}

}
