package org.baobabknot.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.emulator.EmulatedEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests that an entry which names an earlier start of a target, or none, cuts nothing
 * that the target runs.
 */
class StaleTargetEntryTests {

	private static final long TIMEOUT_SECONDS = 10;

	private final GatewayFixture fixture = new GatewayFixture();

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	private EmulatedCaller.Response callDuring(String staleEntry, EmulatedEngine engine) throws Exception {
		this.fixture.start();
		CompletableFuture<EmulatedCaller.Response> order = this.fixture.callAsync("POST", "/orders/x", "r1", "");
		GatewayFixture.await(() -> engine.runningRequests() == 1);
		this.fixture.store.putTarget(engine.id(), staleEntry);
		Thread.sleep(200);
		// The list is used by the next request.
		this.fixture.callAsync("GET", "/reads/x", "r2", "");
		return order.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	private EmulatedEngine addSlowTarget() {
		EmulatedEngine engine = this.fixture.addEngine("t1", "plain", "a", "");
		engine.firstByteDelayMs = 800;
		return engine;
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "\"born\":1,", "\"born\":\"unknown\"," })
	void withoutTheLatestStartDoesNotCutAnOrder(String start) throws Exception {
		EmulatedEngine engine = addSlowTarget();
		String entry = engine.storeEntry("ready").replaceFirst("\"born\":\\d+,?", start);
		EmulatedCaller.Response response = callDuring(entry.replace(",}", "}"), engine);
		assertThat(response.status(), is(200));
		assertThat(response.body(), is("answer to r1"));
	}

	@Test
	void withALaterStartEndsWhatTheEarlierOneRan() throws Exception {
		EmulatedEngine engine = addSlowTarget();
		engine.firstByteDelayMs = 1_800;
		String entry = engine.storeEntry("ready").replaceFirst("\"born\":\\d+", "\"born\":1800000000000");
		long startNanos = System.nanoTime();
		EmulatedCaller.Response response = callDuring(entry, engine);
		assertThat(response.status(), is(502));
		assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) < 1_700, is(true));
	}

}
