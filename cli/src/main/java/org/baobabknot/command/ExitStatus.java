package org.baobabknot.command;

/**
 * Exit statuses of the tool.
 */
enum ExitStatus {

	/** Done. */
	OK(0),

	/** The system refused; nothing was changed. */
	REFUSED(1),

	/** Wrong usage or settings. */
	USAGE(2),

	/** The outcome of a change is unknown. */
	UNKNOWN(3),

	/** The rules have faults; nothing was sent. */
	BAD_RULES(4),

	/** The store or the processes needed do not answer. */
	UNREACHABLE(5);

	private final int code;

	ExitStatus(int code) {
		this.code = code;
	}

	int code() {
		return this.code;
	}

}
