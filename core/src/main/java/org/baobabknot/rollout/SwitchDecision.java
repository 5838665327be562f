package org.baobabknot.rollout;

/**
 * The next action of an agent in a rollout.
 */
public sealed interface SwitchDecision {

	/**
	 * The agent may switch and is ready: announce OUT, then close admission.
	 */
	record Switch() implements SwitchDecision {
	}

	/**
	 * The agent waits.
	 *
	 * @param reason the reason, shown to operators
	 */
	record Wait(String reason) implements SwitchDecision {
	}

	/**
	 * The agent was allowed to switch but did not become ready in time: announce the
	 * increased count, which moves this agent behind the others.
	 *
	 * @param moveBackCount the count to announce
	 */
	record MoveBack(int moveBackCount) implements SwitchDecision {
	}

}
