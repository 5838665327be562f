package org.baobabknot.experiment;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Runs {@code baobabknotctl} as a process of its own and reads its JSON result.
 */
public final class OperatorTool {

	private static final String MAIN_CLASS = "org.baobabknot.command.Baobabknotctl";

	private final ProcessLauncher launcher;

	private final Path settings;

	private int runCount;

	OperatorTool(ProcessLauncher launcher, Path settings) {
		this.launcher = launcher;
		this.settings = settings;
	}

	/**
	 * Returns the settings file of the tool.
	 * @return the file
	 */
	public Path settings() {
		return this.settings;
	}

	/**
	 * Runs a command and waits for its end.
	 * @param arguments the command and its arguments
	 * @return exit status and result
	 */
	public CommandResult run(String... arguments) {
		return run(List.of(arguments));
	}

	/**
	 * Runs a command and waits for its end.
	 * @param arguments the command and its arguments
	 * @return exit status and result
	 */
	public synchronized CommandResult run(List<String> arguments) {
		List<String> commandLine = new ArrayList<>(arguments);
		commandLine.addAll(List.of("--json", "--settings", this.settings.toString()));
		this.runCount++;
		LaunchedProcess process = this.launcher.start("ctl-" + this.runCount, MAIN_CLASS, List.of("-Xmx96m"),
				commandLine);
		if (!process.awaitExit(120_000)) {
			process.kill();
		}
		String log = process.logText();
		return new CommandResult(process.exitStatus(), lastJsonLine(log), log);
	}

	private static JsonNode lastJsonLine(String log) {
		String lastLine = log.strip().substring(log.strip().lastIndexOf('\n') + 1);
		try {
			return new ObjectMapper().readTree(lastLine.isEmpty() ? "{}" : lastLine);
		}
		catch (JsonProcessingException ex) {
			return new ObjectMapper().createObjectNode();
		}
	}

	/**
	 * Result of a command.
	 *
	 * @param exitStatus the exit status
	 * @param json the JSON line
	 * @param output all output
	 */
	public record CommandResult(int exitStatus, JsonNode json, String output) {

		/**
		 * Returns the JSON line of a command that must have succeeded.
		 * @return the JSON line
		 * @throws IllegalStateException when the exit status is not 0
		 */
		public JsonNode jsonOrThrow() {
			if (this.exitStatus != 0) {
				throw new IllegalStateException(
						"baobabknotctl ended with status " + this.exitStatus + ": " + this.output);
			}
			return this.json;
		}

	}

}
