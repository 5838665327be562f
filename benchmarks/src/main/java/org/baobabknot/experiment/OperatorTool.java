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

	private static final String MAIN = "org.baobabknot.command.Baobabknotctl";

	private final ProcessLauncher launcher;

	private final Path settings;

	private int runs;

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
	public Result run(String... arguments) {
		return run(List.of(arguments));
	}

	/**
	 * Runs a command and waits for its end.
	 * @param arguments the command and its arguments
	 * @return exit status and result
	 */
	public synchronized Result run(List<String> arguments) {
		List<String> all = new ArrayList<>(arguments);
		all.addAll(List.of("--json", "--settings", this.settings.toString()));
		this.runs++;
		LaunchedProcess process = this.launcher.start("ctl-" + this.runs, MAIN, List.of("-Xmx96m"), all);
		if (!process.awaitExit(120_000)) {
			process.kill();
		}
		String log = process.logText();
		return new Result(process.exitStatus(), json(log), log);
	}

	private static JsonNode json(String log) {
		String last = log.strip().substring(log.strip().lastIndexOf('\n') + 1);
		try {
			return new ObjectMapper().readTree(last.isEmpty() ? "{}" : last);
		}
		catch (JsonProcessingException ex) {
			return new ObjectMapper().createObjectNode();
		}
	}

	/**
	 * Result of a command.
	 *
	 * @param status the exit status
	 * @param json the JSON line
	 * @param log all output
	 */
	public record Result(int status, JsonNode json, String log) {

		/**
		 * Returns the JSON line of a command that must have succeeded.
		 * @return the JSON line
		 * @throws IllegalStateException when the exit status is not 0
		 */
		public JsonNode orFail() {
			if (this.status != 0) {
				throw new IllegalStateException("baobabknotctl ended with status " + this.status + ": " + this.log);
			}
			return this.json;
		}

	}

}
