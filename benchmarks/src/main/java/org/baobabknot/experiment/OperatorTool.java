package org.baobabknot.experiment;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Runs {@code baobabknotctl} as a separate process and parses its JSON result.
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
	 * Runs a command and waits up to 120 s for its exit, then kills it.
	 * @param arguments the command and its arguments
	 * @return the exit status and the output
	 */
	public CommandResult run(String... arguments) {
		return run(List.of(arguments));
	}

	/**
	 * Runs a command and waits up to 120 s for its exit, then kills it.
	 * @param arguments the command and its arguments
	 * @return the exit status and the output
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
	 * Exit status and output of a command.
	 *
	 * @param exitStatus the exit status
	 * @param json the last line of the output, an empty object if it is not JSON
	 * @param output the whole output, including standard error
	 */
	public record CommandResult(int exitStatus, JsonNode json, String output) {

		/**
		 * Returns the JSON result, or throws an exception if the command failed.
		 * @return the JSON result
		 * @throws IllegalStateException if the exit status is not 0
		 */
		public JsonNode jsonOrThrow() {
			if (this.exitStatus != 0) {
				throw new IllegalStateException(
						"baobabknotctl exited with status " + this.exitStatus + ": " + this.output);
			}
			return this.json;
		}

	}

}
