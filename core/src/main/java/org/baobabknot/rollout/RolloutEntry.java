package org.baobabknot.rollout;

/**
 * The latest announcement of an agent.
 *
 * @param instance the agent
 * @param incarnation identifies the process of the agent; a later process has a higher
 * one
 * @param sequence number that increases with every announcement of the process
 * @param key the rollout
 * @param phase phase of the agent in the rollout
 * @param moveBackCount how often the agent moved behind the others in this rollout
 */
public record RolloutEntry(String instance, long incarnation, long sequence, RolloutKey key, RolloutPhase phase,
		int moveBackCount) {

	/**
	 * Returns whether this entry replaces another one of the same instance.
	 * @param other the other entry
	 * @return true when this one is newer
	 */
	public boolean isNewerThan(RolloutEntry other) {
		if (this.incarnation != other.incarnation) {
			return Long.compareUnsigned(this.incarnation, other.incarnation) > 0;
		}
		return this.sequence > other.sequence;
	}

	/**
	 * Returns whether the agent runs the version of a rollout.
	 * @param rollout the rollout
	 * @return true when it announced DONE for exactly this rollout
	 */
	public boolean hasCompleted(RolloutKey rollout) {
		return this.phase == RolloutPhase.DONE && this.key.equals(rollout);
	}

}
