package org.baobabknot.entry;

import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests a request whose only agent is reconnecting.
 */
class EntryReconnectTests {

	// Guards against a request that fails because its only agent is reconnecting.
	@Test
	void onlyAgentIsRetriedAfterAConnectionLoss() throws Exception {
		try (EntryFixture fixture = new EntryFixture(1); RawCaller caller = fixture.caller()) {
			AtomicInteger attempts = new AtomicInteger();
			fixture.agents.get(0).script = (stream, first) -> (attempts.getAndIncrement() == 0)
					? FakeAgent.closeConnection(stream) : FakeAgent.echo(stream, first);
			caller.post("/s/x", "x");
			assertThat(caller.readResponse().body(), is("x"));
		}
	}

}
