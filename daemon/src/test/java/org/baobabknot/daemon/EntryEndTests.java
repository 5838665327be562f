package org.baobabknot.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import org.baobabknot.emulator.EmulatedCaller;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

/**
 * Tests what callers of an entry get when its process, an agent or a target ends, by the
 * framing of the response, and what the logs say of their requests.
 */
class EntryEndTests {

	private static final long TIMEOUT_SECONDS = 60;

	private static final int SHUTDOWN_MS = 2_500;

	private static final List<String> STREAMS = List.of("/length", "/chunks");

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private FramedTarget target;

	private ProcessFixture fixture;

	@BeforeEach
	void start(@TempDir Path directory) throws Exception {
		this.target = new FramedTarget();
		this.fixture = new ProcessFixture(directory, this.target.port(), SHUTDOWN_MS);
	}

	@AfterEach
	void stop() throws Exception {
		this.threads.shutdownNow();
		this.fixture.close();
		this.target.close();
	}

	private static String request(String path, String version, int length) {
		return "POST /s" + path + " " + version + "\r\nHost: host.example\r\nX-Workspace: w\r\nContent-Length: "
				+ length + "\r\n\r\nbody";
	}

	private CompletableFuture<EmulatedCaller.Response> send(String request) {
		return CompletableFuture.supplyAsync(() -> {
			try (EmulatedCaller caller = new EmulatedCaller(this.fixture.callerPort())) {
				caller.send(request);
				return caller.readResponse();
			}
			catch (IOException ex) {
				return new EmulatedCaller.Response(0, Map.of(), ex.getMessage(), false);
			}
		}, this.threads);
	}

	private List<CompletableFuture<EmulatedCaller.Response>> sendStreams() throws Exception {
		List<CompletableFuture<EmulatedCaller.Response>> responses = new ArrayList<>();
		STREAMS.forEach((path) -> responses.add(send(request(path, "HTTP/1.1", 4))));
		Thread.sleep(1_000);
		return responses;
	}

	private static void assertBrokenOff(List<CompletableFuture<EmulatedCaller.Response>> responses) throws Exception {
		for (CompletableFuture<EmulatedCaller.Response> each : responses) {
			EmulatedCaller.Response response = each.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			assertThat("looks complete with " + response.body().length() + " bytes", response.complete(), is(false));
		}
	}

	private static long lines(String log, String event) {
		return log.lines().filter((line) -> line.contains("\"event\":\"" + event + "\"")).count();
	}

	/** A cut response must not look whole. */
	@Nested
	class CutResponses {

		@Test
		void lookBrokenOffWhenTheEntryIsKilled() throws Exception {
			List<CompletableFuture<EmulatedCaller.Response>> responses = sendStreams();
			ProcessFixture.signal(EntryEndTests.this.fixture.entry, "KILL");
			assertBrokenOff(responses);
		}

		@Test
		void lookBrokenOffWhenTheAgentIsKilled() throws Exception {
			List<CompletableFuture<EmulatedCaller.Response>> responses = sendStreams();
			ProcessFixture.signal(EntryEndTests.this.fixture.agent, "KILL");
			assertBrokenOff(responses);
		}

		@Test
		void lookBrokenOffWhenTheTargetEnds() throws Exception {
			List<CompletableFuture<EmulatedCaller.Response>> responses = sendStreams();
			CompletableFuture<EmulatedCaller.Response> unframed = send(request("/unframed", "HTTP/1.1", 4));
			Thread.sleep(500);
			EntryEndTests.this.target.cut();
			assertBrokenOff(responses);
			assertThat("a response whose end nothing shows is no success",
					unframed.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).status(), is(502));
		}

		// Nothing marks the end of such a response but the connection.
		@Test
		void areNotSentToCallersOfHttp10() throws Exception {
			for (String path : STREAMS) {
				EmulatedCaller.Response response = send(request(path, "HTTP/1.0", 4)).get(TIMEOUT_SECONDS,
						TimeUnit.SECONDS);
				assertThat(response.status(), is(505));
				assertThat(response.complete(), is(true));
			}
		}

	}

	/** Requests at an agent that is gone. */
	@Nested
	class GoneAgent {

		// Guards against a caller that waits for the deadline.
		@Test
		void anOrderIsReportedAsUnknown() throws Exception {
			CompletableFuture<EmulatedCaller.Response> order = send(request("/orders", "HTTP/1.1", 4));
			Thread.sleep(1_000);
			ProcessFixture.signal(EntryEndTests.this.fixture.agent, "KILL");
			assertThat(order.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).body(), containsString("urn:baobabknot:unknown"));
		}

		// Guards against "not run" for a request that may have run.
		@Test
		void aRequestThatMayHaveRunIsNotReportedAsNotRun() throws Exception {
			CompletableFuture<EmulatedCaller.Response> response = send(request("/silent", "HTTP/1.1", 4));
			Thread.sleep(1_000);
			ProcessFixture.signal(EntryEndTests.this.fixture.agent, "KILL");
			assertThat(response.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).body(),
					containsString("urn:baobabknot:incomplete"));
		}

	}

	/** Requests that are open when a stop runs out of time. */
	@Nested
	class TimeOver {

		private final Map<String, CompletableFuture<EmulatedCaller.Response>> waiting = new LinkedHashMap<>();

		private List<CompletableFuture<EmulatedCaller.Response>> streams;

		private void sendAll() throws Exception {
			this.waiting.put("order", send(request("/orders", "HTTP/1.1", 4)));
			this.waiting.put("body", send(
					request("/orders", "HTTP/1.1", 8).replace("X-Workspace", "Idempotency-Key: k\r\nX-Workspace")));
			this.waiting.put("head", send("POST /s/chunks HTTP/1.1\r\nHost: host.ex"));
			this.streams = sendStreams();
		}

		private EmulatedCaller.Response response(String name) throws Exception {
			return this.waiting.get(name).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}

		@Test
		void getAFinalResponseAndALineFromTheEntry() throws Exception {
			sendAll();
			Process entry = EntryEndTests.this.fixture.entry;
			ProcessFixture.signal(entry, "TERM");
			assertBrokenOff(this.streams);
			assertThat(response("order").body(), response("order").status(), is(502));
			assertThat(response("order").body(), containsString("urn:baobabknot:unknown"));
			for (String name : List.of("body", "head")) {
				assertThat(name + " " + response(name).body(), response(name).status(), is(503));
				assertThat(response(name).body(), containsString("urn:baobabknot:not-run:leaving"));
			}
			assertThat(entry.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
			String log = EntryEndTests.this.fixture.readLog("entry");
			assertThat(log, lines(log, "request-ended"), is(5L));
		}

		@Test
		void areEndedByTheAgentWithALine() throws Exception {
			this.waiting.put("order", send(request("/orders", "HTTP/1.1", 4)));
			this.streams = sendStreams();
			Process agent = EntryEndTests.this.fixture.agent;
			ProcessFixture.signal(agent, "TERM");
			assertBrokenOff(this.streams);
			assertThat(response("order").body(), containsString("urn:baobabknot:unknown"));
			assertThat(agent.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
			String log = EntryEndTests.this.fixture.readLog("agent");
			assertThat(log, lines(log, "request-ended"), is(3L));
		}

	}

}
