package org.baobabknot.gateway;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.emulator.EmulatedEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests over sockets of responses that end with their connection, and of streams that end
 * inside an event.
 */
class UnframedResponseTests {

	private static final int EVENTS = 5;

	private static final long TIMEOUT_SECONDS = 10;

	private final GatewayFixture fixture = new GatewayFixture();

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	private EmulatedEngine addModelTarget(String id, boolean unframed) {
		EmulatedEngine engine = this.fixture.addEngine(id, "models", "a", GatewayFixture.MODEL);
		engine.unframedResponses = unframed;
		return engine;
	}

	private static String events(int end) {
		StringBuilder text = new StringBuilder();
		for (int number = 0; number < end; number++) {
			text.append("id: ").append(number).append("\ndata: e").append(number).append("\n\n");
		}
		return text.toString();
	}

	@Nested
	class Streams {

		@Test
		void aWholeStreamWithoutALengthIsPassedOn() throws Exception {
			addModelTarget("t1", true);
			UnframedResponseTests.this.fixture.start();
			EmulatedCaller.Response response = UnframedResponseTests.this.fixture.callStream("r1");
			assertThat(response.complete(), is(true));
			assertThat(response.body(), is(events(EVENTS)));
		}

		@ParameterizedTest
		@ValueSource(booleans = { true, false })
		void aStreamThatEndsInsideAnEventIsResumedElsewhere(boolean unframed) throws Exception {
			EmulatedEngine broken = addModelTarget("t1", unframed);
			broken.endInsideEvent = 2;
			addModelTarget("t2", unframed);
			UnframedResponseTests.this.fixture.start();
			for (int number = 0; broken.receivedRequests().isEmpty(); number++) {
				EmulatedCaller.Response response = UnframedResponseTests.this.fixture.callStream("r" + number);
				assertThat(response.complete(), is(true));
				assertThat(response.body(), is(events(EVENTS)));
			}
		}

		@ParameterizedTest
		@ValueSource(booleans = { true, false })
		void withoutAnotherTargetItIsBrokenOffAfterTheLastWholeEvent(boolean unframed) throws Exception {
			addModelTarget("t1", unframed).endInsideEvent = 3;
			UnframedResponseTests.this.fixture.start();
			EmulatedCaller.Response response = UnframedResponseTests.this.fixture.callStream("r1");
			assertThat(response.complete(), is(false));
			assertThat(response.body(), is(events(3)));
		}

		@Test
		void aStreamWithoutALengthIsNotWholeWhenItsTargetCrashes() throws Exception {
			addModelTarget("t1", true).crashAtEvent = 2;
			UnframedResponseTests.this.fixture.start();
			EmulatedCaller.Response response = UnframedResponseTests.this.fixture.callStream("r1");
			assertThat(response.complete(), is(false));
			assertThat(response.body(), is(events(2)));
		}

	}

	/**
	 * A stream without a length was ended as complete when this process closed its
	 * connection, or when another start of its target accepted a connection after it.
	 */
	@Nested
	class EndsThatAreNotShownToBeRegular {

		private static final int PAUSE_MS = 100;

		private EmulatedEngine addLongStreams() {
			EmulatedEngine engine = addModelTarget("t1", true);
			engine.eventsPerStream = 100;
			engine.eventIntervalMs = 20;
			return engine;
		}

		@Test
		void aStreamIsBrokenOffWhenItsTargetLosesPowerAndIsListedWithANewStart() throws Exception {
			EmulatedEngine engine = addLongStreams();
			UnframedResponseTests.this.fixture.start();
			CompletableFuture<EmulatedCaller.Response> response = UnframedResponseTests.this.fixture.callAsync("POST",
					"/texts/x", "r1",
					EmulatedCaller.modelHeaders(GatewayFixture.MODEL, 100, 30) + EmulatedCaller.deadlineHeader(5_000));
			GatewayFixture.await(() -> engine.runningRequests() == 1);
			Thread.sleep(PAUSE_MS);
			engine.losePower();
			UnframedResponseTests.this.fixture.store.putTarget(engine, "ready");
			Thread.sleep(PAUSE_MS);
			engine.eventsPerStream = EVENTS;
			assertThat(UnframedResponseTests.this.fixture.callStream("r2").complete(), is(true));
			assertThat(response.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).complete(), is(false));
		}

		@Test
		void aStreamIsBrokenOffWhenItsTargetCrashesAndIsBackAtOnce() throws Exception {
			addLongStreams().restartAtEvent = 3;
			UnframedResponseTests.this.fixture.start();
			EmulatedCaller.Response response = UnframedResponseTests.this.fixture.callStream("r1");
			assertThat(response.complete(), is(false));
			assertThat(response.body(), is(events(3)));
		}

		/** The users' record: the caller had an empty answer as complete. */
		@ParameterizedTest
		@ValueSource(booleans = { true, false })
		void aStreamThatEndsBeforeItsFirstEventInACrashIsNotWhole(boolean leaving) throws Exception {
			EmulatedEngine engine = addLongStreams();
			engine.crashesAfterHead = true;
			engine.statesLeaving = leaving;
			UnframedResponseTests.this.fixture.start();
			EmulatedCaller.Response response = UnframedResponseTests.this.fixture.callStream("r1");
			assertThat(response.status() == 200 && response.complete(), is(false));
		}

		@Test
		void aStreamIsBrokenOffWhenItsLeavingTargetCrashes() throws Exception {
			EmulatedEngine engine = addLongStreams();
			engine.statesLeaving = true;
			engine.crashAtEvent = 3;
			UnframedResponseTests.this.fixture.start();
			assertThat(UnframedResponseTests.this.fixture.callStream("r1").complete(), is(false));
		}

		@Test
		void aStreamOfALeavingTargetThatStillRunsIsWhole() throws Exception {
			addModelTarget("t1", true).statesLeaving = true;
			UnframedResponseTests.this.fixture.start();
			assertThat(UnframedResponseTests.this.fixture.callStream("r1").complete(), is(true));
		}

	}

	@Nested
	class PlainResponses {

		private EmulatedEngine addPlainTarget() {
			EmulatedEngine engine = UnframedResponseTests.this.fixture.addEngine("p1", "plain", "a", "");
			engine.unframedResponses = true;
			return engine;
		}

		@Test
		void aWholeResponseIsPassedOn() throws Exception {
			addPlainTarget();
			UnframedResponseTests.this.fixture.start();
			EmulatedCaller.Response response = UnframedResponseTests.this.fixture.call("GET", "/reads/x", "r1", "");
			assertThat(response.status(), is(200));
			assertThat(response.body(), is("answer to r1"));
		}

		@Test
		void theResponseToAnotherRequestIsNotPassedOn() throws Exception {
			addPlainTarget().wrongRequestIds = true;
			UnframedResponseTests.this.fixture.start();
			assertThat(UnframedResponseTests.this.fixture.call("POST", "/orders/x", "r1", "").status(), is(502));
		}

	}

	@Nested
	class CallersWithoutChunks {

		private EmulatedCaller.Response callStream() throws IOException {
			try (EmulatedCaller caller = UnframedResponseTests.this.fixture.caller()) {
				String request = EmulatedCaller.request("POST", "/texts/x", "r1",
						EmulatedCaller.modelHeaders(GatewayFixture.MODEL, 100, 30)
								+ EmulatedCaller.deadlineHeader(5_000),
						"body");
				caller.send(request.replaceFirst("HTTP/1.1", "HTTP/1.0"));
				return caller.readResponse();
			}
		}

		@Test
		void aWholeStreamEndsWithTheConnection() throws Exception {
			addModelTarget("t1", false);
			UnframedResponseTests.this.fixture.start();
			EmulatedCaller.Response response = callStream();
			assertThat(response.headers().containsKey("transfer-encoding"), is(false));
			assertThat(response.complete(), is(true));
			assertThat(response.body(), is(events(EVENTS)));
		}

		@Test
		void aBrokenStreamEndsWithAReset() throws Exception {
			addModelTarget("t1", false).breakOffAtEvent = 3;
			UnframedResponseTests.this.fixture.start();
			assertThat(callStream().complete(), is(false));
		}

	}

}
