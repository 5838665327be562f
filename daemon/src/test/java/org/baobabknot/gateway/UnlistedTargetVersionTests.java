package org.baobabknot.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.emulator.EmulatedEngine;
import org.junit.jupiter.api.Test;

/**
 * Tests that a target whose entry is missing does not count as one that runs an old
 * version.
 */
class UnlistedTargetVersionTests extends PausedStreams {

	/** Longer than the time after which a named version is required. */
	private static final long VERSION_REQUIRED_MS = 8_000;

	private static final long TIMEOUT_SECONDS = 10;

	@Test
	void streamsAreNotTakenFromATargetThatIsNotListed() throws Exception {
		EmulatedEngine engine = addTarget("t1", "a");
		engine.firstByteDelayMs = PAUSE_MS;
		this.fixture.start();
		this.fixture.store.announceVersion(GatewayFixture.MODEL, 1);
		Thread.sleep(VERSION_REQUIRED_MS);
		CompletableFuture<EmulatedCaller.Response> response = this.fixture.callAsync("POST", "/texts/x", "r1",
				EmulatedCaller.modelHeaders(GatewayFixture.MODEL, 100, 30) + EmulatedCaller.deadlineHeader(5_000));
		GatewayFixture.await(() -> engine.runningRequests() == 1);
		this.fixture.store.removeTarget(engine.id());
		assertWhole(response.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
	}

}
