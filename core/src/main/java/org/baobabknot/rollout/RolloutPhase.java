package org.baobabknot.rollout;

/**
 * Phase of an agent in a rollout.
 */
public enum RolloutPhase {

	/** The agent fetches chunks. */
	FETCHING,
	/** The agent holds the complete, verified version and waits until it may switch. */
	READY,
	/** Admission is closed or the target has no complete version. */
	OUT,
	/** The target runs the version. */
	DONE

}
