package org.baobabknot.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.emulator.EmulatedConfiguration;
import org.baobabknot.emulator.EmulatedEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests that a configuration without a service does not cut what its targets run.
 */
class DroppedServiceTests {

	private static final long TIMEOUT_SECONDS = 10;

	/** Time in which the gateway adjusts its connections to a configuration. */
	private static final long HEAD_DELAY_MS = 900;

	private static final long BODY_DELAY_MS = 700;

	private static final int LATER_VERSION = 50;

	private final GatewayFixture fixture = new GatewayFixture();

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	@Test
	void doesNotCutAResponseWithoutALength() throws Exception {
		EmulatedEngine engine = this.fixture.addEngine("t1", "plain", "a", "");
		engine.unframedResponses = true;
		engine.firstByteDelayMs = HEAD_DELAY_MS;
		engine.unframedBodyDelayMs = BODY_DELAY_MS;
		this.fixture.start();
		CompletableFuture<EmulatedCaller.Response> order = this.fixture.callAsync("POST", "/orders/x", "r1", "");
		GatewayFixture.await(() -> engine.runningRequests() == 1);
		this.fixture.configure(new EmulatedConfiguration(LATER_VERSION).route("texts", "streaming", "models", 5_000)
			.modelService("models", GatewayFixture.MODEL, 4, 64)
			.workspace("w", "key-1"));
		EmulatedCaller.Response response = order.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		assertThat(response.status(), is(200));
		assertThat(response.body(), is("answer to r1"));
	}

}
