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
 * Callers that send malformed, oversized, truncated or slow requests.
 */
class MalformedCallerTests {

	private static EntryFixture fixture;

	@BeforeAll
	static void start() throws IOException {
		fixture = new EntryFixture(1);
	}

	@AfterAll
	static void stop() {
		fixture.close();
	}

	private static void assertServes() throws IOException {
		try (RawCaller caller = fixture.caller()) {
			caller.post("/s/x", "still serving");
			assertThat(caller.read().body(), is("still serving"));
		}
	}

	private static RawCaller.Answer read(RawCaller caller, String request) {
		try {
			return caller.read();
		}
		catch (IOException ex) {
			throw new AssertionError("no answer to " + request, ex);
		}
	}

	// Guards against a malformed request that is forwarded, or that harms other callers.
	@Test
	void malformedRequestsAreRefusedWithAProblem() throws IOException {
		Map<String, Integer> cases = new LinkedHashMap<>();
		cases.put("GARBAGE\r\n\r\n", 400);
		cases.put("GET /s/x HTTP/1.0\r\nX-Workspace: w\r\n\r\n", 505);
		cases.put("GET /s/x HTTP/9.9\r\n\r\n", 505);
		cases.put("GET /s/x HTTP/1.1\r\nX-Workspace: w\r\nBad Header\r\n\r\n", 400);
		cases.put("GET /s/x HTTP/1.1\r\nX-Workspace: w\r\nContent-Length: x\r\n\r\n", 400);
		cases.put("POST /s/x HTTP/1.1\r\nX-Workspace: w\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400);
		cases.put("GET s/x HTTP/1.1\r\nX-Workspace: w\r\n\r\n", 400);
		cases.put("GET /s HTTP/1.1\r\nX-Workspace: w\r\n\r\n", 400);
		cases.put("GET /s/x HTTP/1.1\r\n\r\n", 400);
		cases.put("CONNECT h:1 HTTP/1.1\r\n\r\n", 405);
		cases.put("GET /s/x HTTP/1.1\r\nX-Workspace: w\r\nX-Priority: urgent\r\n\r\n", 400);
		cases.put("GET /s/x HTTP/1.1\r\nX-Workspace: w\r\nX-Request-Timeout-Ms: -1\r\n\r\n", 400);
		cases.put("GET /s/x HTTP/1.1\r\nX-Workspace: other\r\n\r\n", 403);
		cases.put("GET /t/x HTTP/1.1\r\nX-Workspace: w\r\n\r\n", 404);
		cases.put("GET /s/x HTTP/1.1\r\nX-Workspace: w\r\nX-Long: " + "a".repeat(5000) + "\r\n\r\n", 431);
		cases.put("GET /s/" + "a".repeat(9000) + " HTTP/1.1\r\nX-Workspace: w\r\n\r\n", 414);
		cases.put("POST /s/x HTTP/1.1\r\nX-Workspace: w\r\nContent-Length: 9999999\r\n\r\n", 413);
		cases.put("POST /s/x HTTP/1.1\r\nX-Workspace: w\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400);
		fixture.agents.get(0).script = FakeAgent::ignore;
		for (Map.Entry<String, Integer> request : cases.entrySet()) {
			try (RawCaller caller = fixture.caller()) {
				caller.write(request.getKey());
				RawCaller.Answer answer = read(caller, request.getKey());
				assertThat(request.getKey(), answer.status(), is(request.getValue()));
				assertThat(answer.body(), containsString("urn:baobabknot:"));
			}
		}
		fixture.agents.get(0).script = FakeAgent::echo;
		assertServes();
	}

	// Guards against a chunked body that grows past the limit on its way.
	@Test
	void chunkedBodyPastTheLimitIsRefused() throws IOException {
		try (RawCaller caller = fixture.caller()) {
			fixture.agents.get(0).script = FakeAgent::ignore;
			caller.write("POST /s/x HTTP/1.1\r\nX-Workspace: w\r\nTransfer-Encoding: chunked\r\n\r\n");
			String chunk = "10000\r\n" + "a".repeat(65536) + "\r\n";
			for (int i = 0; i < 20; i++) {
				caller.write(chunk);
			}
			assertThat(caller.read().status(), is(413));
		}
		finally {
			fixture.agents.get(0).script = FakeAgent::echo;
		}
		assertServes();
	}

	// Guards against callers that hold a connection by sending a head byte after byte.
	@Test
	void headThatArrivesByteAfterByteIsTimedOut() throws Exception {
		try (RawCaller caller = fixture.caller()) {
			long start = System.nanoTime();
			int status = 0;
			for (int i = 0; i < 200 && status == 0; i++) {
				caller.write((i == 0) ? "GET /s/x HTTP/1.1\r\nX: " : "a");
				Thread.sleep(50);
				if (caller.socket.getInputStream().available() > 0) {
					status = caller.read().status();
				}
			}
			assertThat(status, is(408));
			assertThat((System.nanoTime() - start) / 1_000_000, lessThan(10_000L));
		}
	}

	// Guards against a truncated body that occupies an agent until the deadline.
	@Test
	void bodyThatStopsIsTimedOut() throws IOException {
		try (RawCaller caller = fixture.caller()) {
			caller.write("POST /s/x HTTP/1.1\r\nX-Workspace: w\r\nContent-Length: 10\r\n\r\nabc");
			// The scripted agent has answered the head already, so the answer ends early.
			assertThat(caller.endsInsideAnAnswer(), is(true));
		}
		assertServes();
	}

	// Guards against more open connections than the limit.
	@Test
	void connectionsPastTheLimitAreClosed() throws IOException {
		Settings.Http http = new Settings.Http("127.0.0.1", 0, 1, 4096, 1024, 400, 400, 60_000);
		try (EntryFixture small = new EntryFixture(1, http); RawCaller first = small.caller()) {
			first.post("/s/x", "x");
			assertThat(first.read().status(), is(200));
			try (RawCaller second = small.caller()) {
				assertThat(second.readByte(), is(-1));
			}
			first.post("/s/x", "y");
			assertThat(first.read().body(), is("y"));
		}
	}

}
