package org.baobabknot.gateway;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
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
 * Tests what callers of a gateway get when its process ends, and what its log says of
 * their requests.
 */
class ProcessEndTests {

	private static final int CALLERS = 4;

	private static final int RECEIVE_BUFFER_BYTES = 4_096;

	private static final long TIMEOUT_SECONDS = 30;

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private GatewayProcess gateway;

	@BeforeEach
	void start(@TempDir Path directory) throws Exception {
		this.gateway = new GatewayProcess(directory);
	}

	@AfterEach
	void stop() throws Exception {
		this.threads.shutdownNow();
		this.gateway.close();
	}

	/**
	 * Sends streams of 10 s, the time over that a stopping process has.
	 * @param version version of HTTP of the callers
	 * @return what each caller has received when its connection has ended
	 */
	private List<CompletableFuture<EmulatedCaller.Response>> sendLongStreams(String version) throws Exception {
		this.gateway.modelEngine().eventsPerStream = 25;
		this.gateway.modelEngine().eventIntervalMs = 400;
		return sendStreams(version, 12_000);
	}

	private List<CompletableFuture<EmulatedCaller.Response>> sendStreams(String version, long deadlineMs)
			throws Exception {
		List<CompletableFuture<EmulatedCaller.Response>> responses = new ArrayList<>();
		for (int number = 0; number < CALLERS; number++) {
			String request = EmulatedCaller
				.request("POST", "/texts/x", "r" + number,
						EmulatedCaller.modelHeaders(GatewayProcess.MODEL, 100, 150)
								+ EmulatedCaller.deadlineHeader(deadlineMs),
						"body")
				.replace("HTTP/1.1", version);
			responses.add(CompletableFuture.supplyAsync(() -> sendAndRead(request), this.threads));
		}
		Thread.sleep(1_000);
		return responses;
	}

	private EmulatedCaller.Response sendAndRead(String request) {
		try (EmulatedCaller caller = this.gateway.caller()) {
			caller.send(request);
			return caller.readResponse();
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

	private void assertBrokenOff(List<CompletableFuture<EmulatedCaller.Response>> responses) throws Exception {
		for (CompletableFuture<EmulatedCaller.Response> each : responses) {
			EmulatedCaller.Response response = each.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			assertThat(response.body(), containsString("id: 0"));
			assertThat("looks complete with " + response.body().length() + " bytes", response.complete(), is(false));
		}
	}

	/**
	 * A stream that the end of a process cut off looked complete to callers of HTTP/1.0.
	 */
	@Nested
	class CutStreams {

		@Test
		void lookBrokenOffToCallersOfHttp10WhenTheProcessIsKilled() throws Exception {
			List<CompletableFuture<EmulatedCaller.Response>> responses = sendLongStreams("HTTP/1.0");
			ProcessEndTests.this.gateway.signal("KILL");
			assertBrokenOff(responses);
		}

		@Test
		void lookBrokenOffToCallersOfHttp10WhenTheStopTakesTooLong() throws Exception {
			List<CompletableFuture<EmulatedCaller.Response>> responses = sendLongStreams("HTTP/1.0");
			ProcessEndTests.this.gateway.signal("TERM");
			assertBrokenOff(responses);
		}

		@Test
		void lookBrokenOffToCallersOfHttp11WhenTheProcessIsKilled() throws Exception {
			List<CompletableFuture<EmulatedCaller.Response>> responses = sendLongStreams("HTTP/1.1");
			ProcessEndTests.this.gateway.signal("KILL");
			assertBrokenOff(responses);
		}

	}

	/**
	 * Requests that a stopping process cut off had no line in its log.
	 */
	@Nested
	class CutRequests {

		@Test
		void haveALineInTheLog() throws Exception {
			List<CompletableFuture<EmulatedCaller.Response>> responses = sendLongStreams("HTTP/1.1");
			ProcessEndTests.this.gateway.signal("TERM");
			assertBrokenOff(responses);
			assertThat(ProcessEndTests.this.gateway.awaitExit(GatewayProcess.SHUTDOWN_MS), is(true));
			String log = ProcessEndTests.this.gateway.log();
			for (int number = 0; number < CALLERS; number++) {
				assertThat(log, containsString("\"event\":\"request-ended\",\"request\":\"r" + number + "\""));
			}
			assertThat(log, containsString("\"event\":\"stopped\""));
		}

		@Test
		void haveALineInTheLogWhenTheResponseIsStillBeingSent() throws Exception {
			ProcessEndTests.this.gateway.plainEngine().paddingBytes = 3_900_000;
			try (Socket caller = new Socket()) {
				caller.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
				caller.connect(new InetSocketAddress("127.0.0.1", ProcessEndTests.this.gateway.port()));
				caller.getOutputStream()
					.write(EmulatedCaller.request("POST", "/orders/x", "r0", "", "body")
						.getBytes(StandardCharsets.US_ASCII));
				Thread.sleep(1_000);
				ProcessEndTests.this.gateway.signal("TERM");
				assertThat(ProcessEndTests.this.gateway.awaitExit(GatewayProcess.SHUTDOWN_MS + 2_000), is(true));
			}
			assertThat(ProcessEndTests.this.gateway.log(),
					containsString("\"event\":\"response-cut\",\"request\":\"r0\""));
		}

	}

	@Nested
	class WholeStreams {

		@Test
		void lookCompleteToCallersOfBothVersionsInAStop() throws Exception {
			ProcessEndTests.this.gateway.modelEngine().eventsPerStream = 10;
			ProcessEndTests.this.gateway.modelEngine().eventIntervalMs = 300;
			List<CompletableFuture<EmulatedCaller.Response>> responses = new ArrayList<>(
					sendStreams("HTTP/1.0", 6_000));
			responses.addAll(sendStreams("HTTP/1.1", 6_000));
			ProcessEndTests.this.gateway.signal("TERM");
			for (CompletableFuture<EmulatedCaller.Response> each : responses) {
				EmulatedCaller.Response response = each.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
				assertThat(response.body(), containsString("id: 9"));
				assertThat(response.complete(), is(true));
			}
		}

	}

}
