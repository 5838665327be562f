package org.baobabknot.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
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

	}

}
