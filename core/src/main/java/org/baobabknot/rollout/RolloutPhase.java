package org.baobabknot.rollout;

/**
 * Phase of an agent in a rollout.
 */
public enum RolloutPhase {

	/** Fetches chunks. */
	FETCHING,
	/** Holds the verified whole and waits for its turn. */
	READY,
	/** Admission is closed or the target has no whole version. */
	OUT,
	/** The target runs the version. */
	DONE

}
