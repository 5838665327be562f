package org.baobabknot.command;

/**
 * What became of a change.
 */
sealed interface ChangeOutcome {

	/**
	 * The change is in the store.
	 *
	 * @param rules the state written
	 * @param confirmedByRead whether the store's answer was lost and the change was found
	 * by reading back
	 */
	record Accepted(StoredRules rules, boolean confirmedByRead) implements ChangeOutcome {
	}

	/**
	 * Another change came first; this one will never take effect.
	 *
	 * @param current the state in the store
	 */
	record Conflict(StoredRules current) implements ChangeOutcome {
	}

	/**
	 * The store did not answer and nothing was written.
	 *
	 * @param detail step, peer and cause
	 */
	record NotWritten(String detail) implements ChangeOutcome {
	}

	/**
	 * The change may have taken effect or may yet do so.
	 *
	 * @param changeId the id to look for in the history
	 * @param detail step, peer and cause
	 */
	record Unknown(String changeId, String detail) implements ChangeOutcome {
	}

}
