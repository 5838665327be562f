package org.baobabknot.entry;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.baobabknot.membership.MemberUpdate;
import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.ConnectionFailure;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.Outcome;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests requests that are sent while the event loop of their connection stalls.
 */
class StalledLoopTests {

	// Callers are spread over the event loops; only requests of other loops wait for the
	// stalled one.
	private static final int CALLERS = 4;

	private static Connection connection(EntryFixture fixture) {
		return fixture.daemon.context().peers().connection("agent0").orElseThrow();
	}

	private static void stall(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static List<RawCaller> connectCallers(EntryFixture fixture) throws Exception {
		List<RawCaller> callers = new ArrayList<>();
		for (int i = 0; i < CALLERS; i++) {
			RawCaller caller = fixture.caller().write("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
			caller.readResponse();
			callers.add(caller);
		}
		return callers;
	}

	private static void postOrders(List<RawCaller> callers) throws Exception {
		for (RawCaller caller : callers) {
			caller.post("/s/orders", "order");
		}
	}

	private static List<String> responses(List<RawCaller> callers) throws Exception {
		List<String> responses = new ArrayList<>();
		for (RawCaller caller : callers) {
			RawCaller.Response response = caller.readResponse();
			responses.add(response.status() + " " + response.body());
			caller.close();
		}
		return responses;
	}

	@Nested
	class ClosedConnection {

		// Guards against an order that was never sent and is reported as one that may
		// have run.
		@Test
		void leavesOrdersThatWereNotSentToTheNextConnection() throws Exception {
			try (EntryFixture fixture = new EntryFixture(1)) {
				fixture.agents.get(0).script = (stream, first) -> first.hasResolve()
						? FakeAgent.resolve(stream, Outcome.UNKNOWN) : FakeAgent.echo(stream, first);
				List<RawCaller> callers = connectCallers(fixture);
				Connection connection = connection(fixture);
				connection.eventLoop().execute(() -> {
					stall(600);
					connection.close(new ConnectionFailure("test", "agent0", "dropped"));
				});
				postOrders(callers);
				assertThat(responses(callers), is(Collections.nCopies(CALLERS, "200 order")));
				assertThat(fixture.agents.get(0).frames.stream().anyMatch(Frame::hasResolve), is(false));
			}
		}

	}

	@Nested
	class RemovedMember {

		// Guards against a change of the member list that closes a connection on which a
		// request was just sent.
		@Test
		void finishesTheOrdersThatItHas() throws Exception {
			try (EntryFixture fixture = new EntryFixture(1)) {
				fixture.agents.get(0).script = (stream, first) -> {
					stream.eventLoop()
						.schedule(() -> FakeAgent.sendResponse(stream, "order"), 300, TimeUnit.MILLISECONDS);
					return FakeAgent.ignore(stream, first);
				};
				List<RawCaller> callers = connectCallers(fixture);
				connection(fixture).eventLoop().execute(() -> stall(1_000));
				postOrders(callers);
				stall(300);
				fixture.daemon.context().membership().apply(MemberUpdate.full(2, List.of()));
				assertThat(responses(callers), is(Collections.nCopies(CALLERS, "200 order")));
			}
		}

	}

}
