package org.baobabknot.experiment;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link Experiment} and {@link ProcessLauncher}.
 */
class ExperimentTests {

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	private final ByteArrayOutputStream progress = new ByteArrayOutputStream();

	private int run(String... args) {
		return Experiment.run(args, new PrintStream(this.output), new PrintStream(this.progress));
	}

	@Nested
	class CommandLine {

		// Guards against a mistyped subcommand ending with status 0.
		@Test
		void refusesAnUnknownSubcommand() {
			assertThat(run("burts"), is(2));
			assertThat(ExperimentTests.this.progress.toString(), containsString("burts"));
		}

		// Guards against a subcommand whose options cannot be listed.
		@Test
		void printsHelpForEachSubcommand() {
			for (Subcommands entry : Subcommands.values()) {
				assertThat(entry.commandName(), run(entry.commandName(), "--help"), is(0));
			}
		}

		// Guards against progress lines mixed into the JSON line on standard output.
		@Test
		void printsOneJsonLineOnStandardOutput() throws Exception {
			assertThat(run("processes", "--count", "1"), is(0));
			String[] lines = ExperimentTests.this.output.toString().split("\n");
			assertThat(lines.length, is(1));
			assertThat(new ObjectMapper().readTree(lines[0]).get("alive_after_stop").asInt(), is(0));
		}

	}

	@Nested
	class Launcher {

		// Guards against processes and folders left behind, also of a stopped process.
		@Test
		void endsStoppedProcessesAndDeletesItsFolder(@TempDir Path root) {
			ProcessLauncher launcher = new ProcessLauncher(root);
			LaunchedProcess idle = launcher.start("idle", IdleProcess.class.getName(), List.of(), List.of());
			idle.signal("STOP");
			assertThat(idle.isAlive(), is(true));
			launcher.close();
			assertThat(idle.isAlive(), is(false));
			assertThat(Files.exists(launcher.folder()), is(false));
		}

	}

}
