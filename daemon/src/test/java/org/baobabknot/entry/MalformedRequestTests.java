package org.baobabknot.entry;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

import org.baobabknot.settings.Settings;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests callers that send malformed, oversized, truncated or slow requests.
 */
class MalformedRequestTests {

	private static EntryFixture fixture;

	@BeforeAll
	static void start() throws IOException {
		fixture = new EntryFixture(1);
	}

	@AfterAll
	static void stop() {
		fixture.close();
	}

	private static void assertStillServes() throws IOException {
		try (RawCaller caller = fixture.caller()) {
			caller.post("/s/x", "still serving");
			assertThat(caller.readResponse().body(), is("still serving"));
		}
	}

	private static RawCaller.Response read(RawCaller caller, String request) {
		try {
			return caller.readResponse();
		}
		catch (IOException ex) {
			throw new AssertionError("no response to " + request, ex);
		}
	}

	// Guards against a malformed request that is forwarded or that affects other callers.
	@Test
	void malformedRequestsGetProblemDetails() throws IOException {
		Map<String, Integer> expectedStatuses = new LinkedHashMap<>();
		expectedStatuses.put("GARBAGE\r\n\r\n", 400);
		expectedStatuses.put("GET /s/x HTTP/1.0\r\nX-Workspace: w\r\n\r\n", 505);
		expectedStatuses.put("GET /s/x HTTP/9.9\r\n\r\n", 505);
		expectedStatuses.put("GET /s/x HTTP/1.1\r\nX-Workspace: w\r\nBad Header\r\n\r\n", 400);
		expectedStatuses.put("GET /s/x HTTP/1.1\r\nX-Workspace: w\r\nContent-Length: x\r\n\r\n", 400);
		expectedStatuses.put("POST /s/x HTTP/1.1\r\nX-Workspace: w\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
				400);
		expectedStatuses.put("GET s/x HTTP/1.1\r\nX-Workspace: w\r\n\r\n", 400);
		expectedStatuses.put("GET /s HTTP/1.1\r\nX-Workspace: w\r\n\r\n", 400);
		expectedStatuses.put("GET /s/x HTTP/1.1\r\n\r\n", 400);
		expectedStatuses.put("CONNECT h:1 HTTP/1.1\r\n\r\n", 405);
		expectedStatuses.put("GET /s/x HTTP/1.1\r\nX-Workspace: w\r\nX-Priority: urgent\r\n\r\n", 400);
		expectedStatuses.put("GET /s/x HTTP/1.1\r\nX-Workspace: w\r\nX-Request-Timeout-Ms: -1\r\n\r\n", 400);
		expectedStatuses.put("GET /s/x HTTP/1.1\r\nX-Workspace: other\r\n\r\n", 403);
		expectedStatuses.put("GET /t/x HTTP/1.1\r\nX-Workspace: w\r\n\r\n", 404);
		expectedStatuses.put("GET /s/x HTTP/1.1\r\nX-Workspace: w\r\nX-Long: " + "a".repeat(5000) + "\r\n\r\n", 431);
		expectedStatuses.put("GET /s/" + "a".repeat(9000) + " HTTP/1.1\r\nX-Workspace: w\r\n\r\n", 414);
		expectedStatuses.put("POST /s/x HTTP/1.1\r\nX-Workspace: w\r\nContent-Length: 9999999\r\n\r\n", 413);
		expectedStatuses.put("POST /s/x HTTP/1.1\r\nX-Workspace: w\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400);
		fixture.agents.get(0).script = FakeAgent::ignore;
		for (Map.Entry<String, Integer> request : expectedStatuses.entrySet()) {
			try (RawCaller caller = fixture.caller()) {
				caller.write(request.getKey());
				RawCaller.Response response = read(caller, request.getKey());
				assertThat(request.getKey(), response.status(), is(request.getValue()));
				assertThat(response.body(), containsString("urn:baobabknot:"));
			}
		}
		fixture.agents.get(0).script = FakeAgent::echo;
		assertStillServes();
	}

	// Guards against a chunked body that exceeds the limit while it is received.
	@Test
	void chunkedBodyOverTheLimitIsRejected() throws IOException {
		try (RawCaller caller = fixture.caller()) {
			fixture.agents.get(0).script = FakeAgent::ignore;
			caller.write("POST /s/x HTTP/1.1\r\nX-Workspace: w\r\nTransfer-Encoding: chunked\r\n\r\n");
			String chunk = "10000\r\n" + "a".repeat(65536) + "\r\n";
			for (int i = 0; i < 20; i++) {
				caller.write(chunk);
			}
			assertThat(caller.readResponse().status(), is(413));
		}
		finally {
			fixture.agents.get(0).script = FakeAgent::echo;
		}
		assertStillServes();
	}

	// Guards against callers that occupy a connection by sending a head byte by byte.
	@Test
	void headSentByteByByteTimesOut() throws Exception {
		try (RawCaller caller = fixture.caller()) {
			long startNanos = System.nanoTime();
			int status = 0;
			for (int i = 0; i < 200 && status == 0; i++) {
				caller.write((i == 0) ? "GET /s/x HTTP/1.1\r\nX: " : "a");
				Thread.sleep(50);
				if (caller.socket.getInputStream().available() > 0) {
					status = caller.readResponse().status();
				}
			}
			assertThat(status, is(408));
			assertThat((System.nanoTime() - startNanos) / 1_000_000, lessThan(10_000L));
		}
	}

	// Guards against a truncated body that occupies an agent until the deadline.
	@Test
	void stalledBodyTimesOut() throws IOException {
		try (RawCaller caller = fixture.caller()) {
			caller.write("POST /s/x HTTP/1.1\r\nX-Workspace: w\r\nContent-Length: 10\r\n\r\nabc");
			// The scripted agent has already sent the head of its response, so the
			// response is interrupted.
			assertThat(caller.endsWithinResponse(), is(true));
		}
		assertStillServes();
	}

	// Guards against more open connections than the limit.
	@Test
	void connectionsOverTheLimitAreClosed() throws IOException {
		Settings.Http http = new Settings.Http("127.0.0.1", 0, 1, 4096, 1024, 400, 400, 60_000);
		try (EntryFixture limitedFixture = new EntryFixture(1, http); RawCaller first = limitedFixture.caller()) {
			first.post("/s/x", "x");
			assertThat(first.readResponse().status(), is(200));
			try (RawCaller second = limitedFixture.caller()) {
				assertThat(second.readByte(), is(-1));
			}
			first.post("/s/x", "y");
			assertThat(first.readResponse().body(), is("y"));
		}
	}

}
