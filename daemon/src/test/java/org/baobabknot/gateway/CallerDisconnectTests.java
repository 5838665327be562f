package org.baobabknot.gateway;

import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.emulator.EmulatedEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

/**
 * Tests of callers that disconnect while the gateway does not read their connection.
 */
class CallerDisconnectTests {

	/** Time after which the work for a disconnected caller must be cancelled. */
	private static final long CANCEL_TIMEOUT_MS = 500;

	/**
	 * Pipelined requests, far more than the gateway queues before it stops reading.
	 */
	private static final int PIPELINED_REQUESTS = 100;

	/** Delay of the first event of a busy engine. */
	private static final long FIRST_EVENT_DELAY_MS = 60_000;

	private final GatewayFixture fixture = new GatewayFixture();

	private EmulatedEngine startWithEngine() throws Exception {
		EmulatedEngine engine = this.fixture.addEngine("t1", "models", "a", GatewayFixture.MODEL);
		this.fixture.start();
		return engine;
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
	}

	/** Guards against work for callers that pipelined requests and disconnected. */
	@Test
	void workIsCancelledWhenACallerWithPipelinedRequestsDisconnects() throws Exception {
		EmulatedEngine engine = startWithEngine();
		engine.firstByteDelayMs = FIRST_EVENT_DELAY_MS;
		try (EmulatedCaller caller = this.fixture.caller()) {
			caller.send(request(0));
			GatewayFixture.await(() -> engine.runningRequests() == 1);
			for (int number = 1; number <= PIPELINED_REQUESTS; number++) {
				caller.send(request(number));
			}
			Thread.sleep(CANCEL_TIMEOUT_MS);
		}
		Thread.sleep(CANCEL_TIMEOUT_MS);
		assertThat("the gateway logs the disconnect", this.fixture.logOutput.toString(), containsString("caller-gone"));
	}

	/**
	 * Guards against requests that are sent to a target after a stall during which their
	 * callers disconnected.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 0, 100 })
	void aRequestWhoseCallerDisconnectedDuringAStallIsNotSent(long sendDelayMs) throws Exception {
		EmulatedEngine engine = startWithEngine();
		// Opens a connection to the engine that the next request reuses.
		this.fixture.call("POST", "/texts/x", "r0", EmulatedCaller.modelHeaders(GatewayFixture.MODEL, 10, 10));
		assertThat(engine.receivedRequests().size(), is(1));
		engine.firstByteDelayMs = FIRST_EVENT_DELAY_MS;
		try (EmulatedCaller caller = this.fixture.caller()) {
			Thread.sleep(100);
			this.fixture.stallEventLoop(2 * CANCEL_TIMEOUT_MS);
			Thread.sleep(sendDelayMs);
			caller.send(request(1));
		}
		Thread.sleep(3 * CANCEL_TIMEOUT_MS);
		assertThat("requests that reached the engine", engine.receivedRequests().size(), is(1));
	}

	private static String request(int number) {
		return EmulatedCaller.request("POST", "/texts/x", "r" + number,
				EmulatedCaller.modelHeaders(GatewayFixture.MODEL, 10, 10), "");
	}

}
