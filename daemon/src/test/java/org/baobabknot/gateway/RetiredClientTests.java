package org.baobabknot.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.emulator.EmulatedEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests that a response without a length is whole although an entry has replaced the
 * client of its target meanwhile.
 */
class RetiredClientTests {

	private static final long TIMEOUT_SECONDS = 10;

	/** Time after which the identity of a target no longer shows that it still runs. */
	private static final long BODY_DELAY_MS = 900;

	private final GatewayFixture fixture = new GatewayFixture();

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	@Test
	void doNotCutAResponseWithoutALength() throws Exception {
		EmulatedEngine engine = this.fixture.addEngine("t1", "plain", "a", "");
		engine.unframedResponses = true;
		engine.unframedBodyDelayMs = BODY_DELAY_MS;
		this.fixture.start();
		String entry = engine.storeEntry("ready");
		this.fixture.store.putTarget(engine.id(), entry.replaceFirst(",\"born\":\\d+", ""));
		GatewayFixture.await(() -> startedMs(engine) == 0);
		CompletableFuture<EmulatedCaller.Response> order = this.fixture.callAsync("POST", "/orders/x", "r1", "");
		GatewayFixture.await(() -> engine.runningRequests() == 1);
		this.fixture.store.putTarget(engine.id(), entry);
		GatewayFixture.await(() -> startedMs(engine) > 0);
		// The list is used by the next request.
		this.fixture.callAsync("GET", "/reads/x", "r2", "");
		EmulatedCaller.Response response = order.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		assertThat(response.status(), is(200));
		assertThat(response.body(), is("answer to r1"));
	}

	private long startedMs(EmulatedEngine engine) {
		return this.fixture.gateway().view().target(engine.id()).orElseThrow().startedMs();
	}

}
