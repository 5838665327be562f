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

}
