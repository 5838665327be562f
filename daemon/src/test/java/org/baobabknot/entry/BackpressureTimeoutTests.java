package org.baobabknot.entry;

import java.util.concurrent.TimeUnit;

import org.baobabknot.protocol.Stream;
import org.baobabknot.settings.Settings;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests the read timeout of a request body that the entry does not read because the agent
 * has granted no credit.
 */
class BackpressureTimeoutTests {

	private static final int BODY_BYTES = 8 << 20;

	private static final int CREDIT_BYTES = 256 << 10;

	// Guards against a request that is ended as late while its target pauses.
	@Test
	void pauseOfTheTargetIsNotCountedAsSilenceOfTheCaller() throws Exception {
		Settings.Http http = new Settings.Http("127.0.0.1", 0, 64, 4096, 2 * BODY_BYTES, 400, 400, 60_000);
		try (EntryFixture fixture = new EntryFixture(1, http); RawCaller caller = fixture.caller()) {
			FakeAgent agent = fixture.agents.get(0);
			agent.grantsCredit = false;
			agent.script = (stream, first) -> {
				stream.eventLoop().schedule(() -> resume(agent, stream), 1_200, TimeUnit.MILLISECONDS);
				return (on, frame) -> {
					if (frame.hasBodyEnd()) {
						FakeAgent.sendResponse(on, "whole");
					}
				};
			};
			caller.post("/s/x", "x".repeat(BODY_BYTES));
			assertThat(caller.readResponse().body(), is("whole"));
		}
	}

	private static void resume(FakeAgent agent, Stream stream) {
		agent.grantsCredit = true;
		stream.recordConsumed(CREDIT_BYTES);
	}

}
