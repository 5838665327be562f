package org.baobabknot.rollout;

/**
 * What an agent does next in a rollout.
 */
public sealed interface SwitchDecision {

	/**
	 * It is this agent's turn and it is ready: announce OUT, then close admission.
	 */
	record Switch() implements SwitchDecision {
	}

	/**
	 * The agent waits.
	 *
	 * @param reason why, for operators
	 */
	record Wait(String reason) implements SwitchDecision {
	}

	/**
	 * The agent's turn passed without it being ready: announce the lateness, which moves
	 * this agent behind the others.
	 *
	 * @param moveBackCount the lateness to announce
	 */
	record MoveBack(int moveBackCount) implements SwitchDecision {
	}

}
