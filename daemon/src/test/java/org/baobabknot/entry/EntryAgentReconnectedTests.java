package org.baobabknot.entry;

import java.util.concurrent.atomic.AtomicInteger;

import org.baobabknot.gossip.PeerListener;
import org.baobabknot.protocol.Connection;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests a request whose only agent has reconnected but can't be chosen yet.
 */
class EntryAgentReconnectedTests {

	private static final long STALL_MS = 300;

	// Guards against a request that is refused because it arrives after the connection
	// of its agent is open again, but before the balancer can choose the agent.
	@Test
	void requestWaitsForAReconnectedAgentThatCannotBeChosenYet() throws Exception {
		AtomicInteger opened = new AtomicInteger();
		PeerListener stallingListener = new PeerListener() {
			@Override
			public void onConnectionOpened(Connection connection) {
				if (opened.getAndIncrement() > 0) {
					stall();
				}
			}
		};
		AtomicInteger attempts = new AtomicInteger();
		// The stalled connection shares its event loop with one of the callers.
		try (EntryFixture fixture = new EntryFixture(1, EntryFixture.HTTP_SETTINGS, (port) -> port, stallingListener);
				RawCaller firstCaller = fixture.caller();
				RawCaller secondCaller = fixture.caller()) {
			fixture.agents.get(0).script = (stream, first) -> (attempts.getAndIncrement() == 0)
					? FakeAgent.closeConnection(stream) : FakeAgent.echo(stream, first);
			firstCaller.post("/s/x", "x");
			secondCaller.post("/s/x", "y");
			assertThat(firstCaller.readResponse().body(), is("x"));
			assertThat(secondCaller.readResponse().body(), is("y"));
		}
	}

	private static void stall() {
		try {
			Thread.sleep(STALL_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
