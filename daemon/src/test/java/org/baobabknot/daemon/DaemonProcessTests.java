package org.baobabknot.daemon;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

/**
 * Entry and agent as separate processes with mutual TLS, and the command line.
 */
class DaemonProcessTests {

	private static final int STREAM_COUNT = 8;

	@TempDir
	Path directory;

	private static void assertComplete(List<CompletableFuture<HttpResponse<String>>> responses) throws Exception {
		for (CompletableFuture<HttpResponse<String>> pending : responses) {
			HttpResponse<String> response = pending.get(60, TimeUnit.SECONDS);
			assertThat(response.body(), response.statusCode(), is(200));
			assertThat(response.body(), is(ProcessFixture.RESPONSE_BODY));
		}
	}

	/** SIGTERM with open streams. */
	@Nested
	class Shutdown {

		// Guards against an agent that aborts open responses, or runs new requests, after
		// SIGTERM.
		@Test
		void agentFinishesOpenStreamsAndRefusesNewWorkAsNotRun() throws Exception {
			try (ProcessFixture fixture = new ProcessFixture(DaemonProcessTests.this.directory)) {
				List<CompletableFuture<HttpResponse<String>>> open = fixture.sendRequests(STREAM_COUNT);
				Thread.sleep(500);
				fixture.agent.destroy();
				Thread.sleep(500);
				HttpResponse<String> lateResponse = fixture.sendRequest().get(60, TimeUnit.SECONDS);
				assertThat(lateResponse.statusCode(), is(503));
				assertThat(lateResponse.body(), containsString("urn:baobabknot:not-run:"));
				assertComplete(open);
				assertThat(fixture.agent.waitFor(60, TimeUnit.SECONDS), is(true));
				assertThat(fixture.readLog("agent"), fixture.agent.exitValue(), is(0));
			}
		}

		// Guards against an entry that aborts open responses, or refuses the requests
		// that the load balancer still sends until it has noticed the shutdown.
		@Test
		void entryServesDuringTheLagAndFinishesOpenStreams() throws Exception {
			try (ProcessFixture fixture = new ProcessFixture(DaemonProcessTests.this.directory)) {
				List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>(
						fixture.sendRequests(STREAM_COUNT));
				Thread.sleep(300);
				fixture.entry.destroy();
				Thread.sleep(300);
				assertThat(fixture.status("/readyz"), is(503));
				responses.addAll(fixture.sendRequests(STREAM_COUNT));
				assertComplete(responses);
				assertThat(fixture.entry.waitFor(60, TimeUnit.SECONDS), is(true));
				assertThat(fixture.readLog("entry"), fixture.entry.exitValue(), is(0));
			}
		}

	}

	/** The command line. */
	@Nested
	class CommandLine {

		private final ByteArrayOutputStream out = new ByteArrayOutputStream();

		private final ByteArrayOutputStream err = new ByteArrayOutputStream();

		private int run(String... arguments) {
			return Baobabknotd.run(arguments, new PrintStream(this.out), new PrintStream(this.err));
		}

		// Guards against a usage error with the exit status of a successful run.
		@Test
		void usageErrorsHaveTheirOwnExitStatus() {
			assertThat(run(), is(2));
			assertThat(run("--nonsense"), is(2));
			assertThat(run("--settings", "x", "extra"), is(2));
			assertThat(run("--help"), is(0));
			assertThat(this.out.toString(), containsString("--settings FILE"));
		}

		// Guards against a check that starts the process or accepts an invalid settings
		// file.
		@Test
		void checkReportsEveryError() throws Exception {
			Path file = DaemonProcessTests.this.directory.resolve("wrong.json");
			Files.writeString(file, "{\"role\": \"entry\", \"instanse\": \"e\"}");
			assertThat(run("--settings", file.toString(), "--check"), is(2));
			assertThat(this.err.toString(), containsString("did you mean \"instance\"?"));
			assertThat(this.err.toString(), containsString("listen: found nothing, expected an object"));
		}

	}

}
