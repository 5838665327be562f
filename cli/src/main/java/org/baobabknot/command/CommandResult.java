package org.baobabknot.command;

import java.util.List;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Result of a command.
 *
 * @param status the exit status
 * @param json the result for {@code --json}
 * @param lines the result as text
 */
record CommandResult(ExitStatus status, ObjectNode json, List<String> lines) {

	CommandResult {
		lines = List.copyOf(lines);
	}

	static CommandResult of(ExitStatus status, ObjectNode json, String line) {
		return new CommandResult(status, json, List.of(line));
	}

	static CommandResult message(ExitStatus status, String message) {
		return of(status, JsonNodeFactory.instance.objectNode().put("message", message), message);
	}

}
