package org.baobabknot.command;

/**
 * Ends a command before it has changed anything, with the exit status of the tool.
 */
final class CommandFailure extends Exception {

	private static final long serialVersionUID = 1L;

	private final ExitStatus status;

	CommandFailure(ExitStatus status, String message) {
		super(message);
		this.status = status;
	}

	ExitStatus status() {
		return this.status;
	}

	CommandResult result() {
		return CommandResult.message(this.status, String.valueOf(getMessage()));
	}

}
