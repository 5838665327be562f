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
 * Tests of callers that leave while the gateway does not look at their connection.
 */
class CallerDisconnectTests {

	/** Time after a caller has left at which no work goes on for it, in ms. */
	private static final long CANCEL_TIMEOUT_MS = 500;

	/**
	 * Requests sent ahead, well beyond those that the gateway takes before it stops
	 * reading.
	 */
	private static final int PIPELINED_REQUESTS = 100;

	/** Time until the first event of an engine that is busy, in ms. */
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

	/** Guards against work for callers that have sent requests ahead and left. */
	@Test
	void workIsCancelledWhenACallerWithPipelinedRequestsDisconnects() throws Exception {
		EmulatedEngine engine = startWithEngine();
		engine.firstMs = FIRST_EVENT_DELAY_MS;
		try (EmulatedCaller caller = this.fixture.caller()) {
			caller.send(request(0));
			GatewayFixture.await(() -> engine.running() == 1);
			for (int number = 1; number <= PIPELINED_REQUESTS; number++) {
				caller.send(request(number));
			}
			Thread.sleep(CANCEL_TIMEOUT_MS);
		}
		Thread.sleep(CANCEL_TIMEOUT_MS);
		assertThat("the gateway has noticed", this.fixture.logOutput.toString(), containsString("caller-gone"));
	}

	/**
	 * Guards against requests sent on after a stall, though their callers have left in
	 * it.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 0, 100 })
	void aRequestWhoseCallerDisconnectedDuringAStallIsNotSent(long sendDelayMs) throws Exception {
		EmulatedEngine engine = startWithEngine();
		// The connection of this call is used again.
		this.fixture.call("POST", "/texts/x", "r0", EmulatedCaller.model(GatewayFixture.MODEL, 10, 10));
		assertThat(engine.seen().size(), is(1));
		engine.firstMs = FIRST_EVENT_DELAY_MS;
		try (EmulatedCaller caller = this.fixture.caller()) {
			Thread.sleep(100);
			this.fixture.stallEventLoop(2 * CANCEL_TIMEOUT_MS);
			Thread.sleep(sendDelayMs);
			caller.send(request(1));
		}
		Thread.sleep(3 * CANCEL_TIMEOUT_MS);
		assertThat("requests that reached the engine", engine.seen().size(), is(1));
	}

	private static String request(int number) {
		return EmulatedCaller.request("POST", "/texts/x", "r" + number,
				EmulatedCaller.model(GatewayFixture.MODEL, 10, 10), "");
	}

}
