package org.baobabknot.entry;

import java.io.IOException;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

/**
 * Tests the size limit of bodies of requests with an idempotency key.
 */
class KeyedBodyLimitTests {

	/** Time in which the entry reads what was sent so far. */
	private static final long PAUSE_MS = 300;

	private static EntryFixture fixture;

	@BeforeAll
	static void start() throws IOException {
		fixture = new EntryFixture(1);
	}

	@AfterAll
	static void stop() {
		fixture.close();
	}

	// Guards against unbounded bodies that are buffered for retries of idempotent or
	// keyed requests.
	@Test
	void keyedBodyOverTheLimitIsRefusedAsNotRun() throws IOException {
		try (RawCaller caller = fixture.caller()) {
			caller.post("/s/orders", "a".repeat(300_000), "Idempotency-Key: k");
			RawCaller.Response response = caller.readResponse();
			assertThat(response.status(), is(413));
			assertThat(response.body(), containsString("not-run:oversized"));
		}
	}

	// The part that exceeds the limit is also the last one.
	@Test
	void keyedBodyThatExceedsTheLimitWithItsLastPartIsRefusedAsNotRun() throws Exception {
		int length = RequestBody.MAX_REPLAY_BYTES + 100;
		try (RawCaller caller = fixture.caller()) {
			caller.write("POST /s/orders HTTP/1.1\r\nX-Workspace: w\r\nIdempotency-Key: last\r\nContent-Length: "
					+ length + "\r\n\r\n" + "a".repeat(length - 200));
			Thread.sleep(PAUSE_MS);
			caller.write("a".repeat(200));
			RawCaller.Response response = caller.readResponse();
			assertThat(response.status(), is(413));
			assertThat(response.body(), containsString("not-run:oversized"));
		}
	}

	// The target may have acted on the part of the body that it received.
	@Test
	void bodyOverTheLimitOfARequestThatWasPassedOnIsNotReportedAsNotRun() throws Exception {
		try (RawCaller caller = fixture.caller()) {
			fixture.agents.get(0).script = FakeAgent::ignore;
			caller.write("POST /s/orders HTTP/1.1\r\nX-Workspace: w\r\nTransfer-Encoding: chunked\r\n\r\n");
			String chunk = "10000\r\n" + "a".repeat(65536) + "\r\n";
			for (int index = 0; index < 20; index++) {
				caller.write(chunk);
			}
			RawCaller.Response response = caller.readResponse();
			assertThat(response.status(), is(413));
			assertThat(response.body(), containsString("urn:baobabknot:unknown"));
			assertThat(response.headers().containsKey("retry-after"), is(false));
		}
		finally {
			fixture.agents.get(0).script = FakeAgent::echo;
		}
	}

}
