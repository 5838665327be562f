package org.baobabknot.command;

import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.ssl.SslContextBuilder;
import org.baobabknot.protocol.generated.TimelineEvent;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link Baobabknotctl} without a running process.
 */
class BaobabknotctlTests {

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

	@TempDir
	private Path directory;

	private int run(String... args) {
		return Baobabknotctl.run(args, new PrintStream(this.output), new PrintStream(this.errors));
	}

	private String writeFile(String name, String text) throws IOException {
		return Files.writeString(this.directory.resolve(name), text).toString();
	}

	@Nested
	class CommandLine {

		// Guards against exit status 0 for a mistyped command or option.
		@Test
		void refusesWrongUsage() {
			assertThat(run("aply"), is(2));
			assertThat(run("check", "--jsno", "rules.txt"), is(2));
			assertThat(run("check"), is(2));
		}

		// Guards against a command without help.
		@Test
		void printsHelpForEachCommand() {
			for (Commands entry : Commands.values()) {
				assertThat(entry.commandName(), run(entry.commandName(), "--help"), is(0));
			}
		}

		// Guards against ignoring a misspelt settings key.
		@Test
		void refusesUnknownSettings() throws IOException {
			String settings = writeFile("tool.json", "{\"sotre\":\"http://127.0.0.1:1\"}");
			assertThat(run("history", "--settings", settings), is(2));
			assertThat(BaobabknotctlTests.this.errors.toString(), containsString("sotre"));
		}

		// Guards against reporting an unreachable store as a refusal or a success.
		@Test
		void reportsAStoreThatIsDown() throws IOException {
			String settings = writeFile("tool.json",
					"{\"store\":\"http://127.0.0.1:1\",\"processes\":[\"127.0.0.1:1\"]}");
			String rules = writeFile("rules.txt", "domain north out  # Asha: inspection\n");
			assertThat(run("apply", rules, "--settings", settings), is(5));
		}

	}

	@Nested
	class Rules {

		// Guards against accepting a file with one invalid line, and against an error
		// without its line and column.
		@Test
		void reportsLineColumnAndNearestName() throws Exception {
			String rules = writeFile("rules.txt",
					"domain north out  # Asha: inspection\ndomian south out  # Asha: heat\n");
			assertThat(run("check", rules, "--offline", "--json"), is(4));
			JsonNode error = new ObjectMapper().readTree(BaobabknotctlTests.this.output.toString())
				.path("errors")
				.path(0);
			assertThat(error.path("line").asInt(), is(2));
			assertThat(error.path("column").asInt(), is(1));
			assertThat(error.path("nearest").asText(), is("domain"));
		}

		// Guards against refusing a valid file.
		@Test
		void acceptsAValidFile() throws IOException {
			String rules = writeFile("rules.txt", "domain north out  # Asha: inspection\n");
			assertThat(run("check", rules, "--offline"), is(0));
		}

	}

	@Nested
	class Keys {

		// Guards against keys that TLS cannot load and private keys that others can read.
		@Test
		void createsKeysForMutualTls() throws Exception {
			assertThat(run("keys", BaobabknotctlTests.this.directory.toString(), "entry-1"), is(0));
			File key = BaobabknotctlTests.this.directory.resolve("entry-1.key").toFile();
			SslContextBuilder.forServer(BaobabknotctlTests.this.directory.resolve("entry-1.pem").toFile(), key)
				.trustManager(BaobabknotctlTests.this.directory.resolve("authorities.pem").toFile())
				.build();
			assertThat(Files.getPosixFilePermissions(key.toPath()).size(), is(2));
		}

	}

	@Nested
	class Merging {

		// Guards against events out of order and against dropping the latest ones.
		@Test
		void ordersEventsByClockAndKeepsTheLatest() {
			List<TimelineEvent> merged = TimelineCommand.merge(List.of(event(3, "b"), event(1, "a"), event(3, "a")), 2);
			assertThat(merged, is(List.of(event(3, "a"), event(3, "b"))));
		}

		private TimelineEvent event(long clock, String instance) {
			return TimelineEvent.newBuilder().setClock(clock).setInstance(instance).build();
		}

	}

}
