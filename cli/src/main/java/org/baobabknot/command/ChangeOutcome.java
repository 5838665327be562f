package org.baobabknot.command;

/**
 * Outcome of a change of the rules.
 */
sealed interface ChangeOutcome {

	/**
	 * The change was written to the store.
	 *
	 * @param rules the state written
	 * @param confirmedByRead whether the store's response was lost and the change was
	 * found by reading back
	 */
	record Accepted(StoredRules rules, boolean confirmedByRead) implements ChangeOutcome {
	}

	/**
	 * Another change was written first; this one will never take effect.
	 *
	 * @param current the state in the store
	 */
	record Conflict(StoredRules current) implements ChangeOutcome {
	}

	/**
	 * The store did not respond and the change was certainly not written.
	 *
	 * @param detail step, peer and cause
	 */
	record NotWritten(String detail) implements ChangeOutcome {
	}

	/**
	 * The change may have taken effect or may still do so.
	 *
	 * @param changeId the id to look for in the history
	 * @param detail step, peer and cause
	 */
	record Unknown(String changeId, String detail) implements ChangeOutcome {
	}

}
