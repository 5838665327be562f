package org.baobabknot.command;

/**
 * Exit statuses of the tool.
 */
enum ExitStatus {

	/** The command succeeded. */
	OK(0),

	/** The system refused the command; nothing was changed. */
	REFUSED(1),

	/** Wrong usage or settings. */
	USAGE(2),

	/** The outcome of a change is unknown. */
	UNKNOWN(3),

	/** The rules file has errors; nothing was sent. */
	BAD_RULES(4),

	/** The store or the processes that are needed do not respond. */
	UNREACHABLE(5);

	private final int code;

	ExitStatus(int code) {
		this.code = code;
	}

	int code() {
		return this.code;
	}

}
