package org.baobabknot.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.emulator.EmulatedEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests over sockets with targets that have crashed and are still listed. The load is
 * light enough for the target that is left.
 */
class CrashedTargetTests {

	private static final int CRASHED = 8;

	private static final int REQUESTS = 20;

	private final GatewayFixture fixture = new GatewayFixture();

	private final List<EmulatedEngine> crashed = new ArrayList<>();

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	@Test
	void requestsAreServedWhileMostListedTargetsHaveCrashed() throws Exception {
		for (int index = 0; index < CRASHED; index++) {
			this.crashed.add(this.fixture.addEngine("t" + index, "plain", "a", ""));
		}
		EmulatedEngine running = this.fixture.addEngine("running", "plain", "b", "");
		this.fixture.start();
		this.crashed.forEach(EmulatedEngine::crash);
		int served = 0;
		for (int number = 0; number < REQUESTS; number++) {
			served += (this.fixture.call("GET", "/reads/x", "r" + number, "").status() == 200) ? 1 : 0;
		}
		assertThat(served, is(REQUESTS));
		assertThat(running.receivedRequests().size(), is(REQUESTS));
	}

	@Test
	void aCrashIsFoundWithoutARequestOfACaller() throws Exception {
		EmulatedEngine target = this.fixture.addEngine("t1", "plain", "a", "");
		target.firstByteDelayMs = 2_000;
		this.fixture.start();
		CompletableFuture<EmulatedCaller.Response> pending = this.fixture.callAsync("POST", "/orders/x", "r1", "");
		GatewayFixture.await(() -> target.receivedRequests().size() == 1);
		target.crash();
		assertThat(pending.get().status(), is(502));
		PooledTarget pooled = this.fixture.gateway()
			.pooledTarget(this.fixture.gateway().view().target("t1").orElseThrow());
		GatewayFixture.await(() -> pooled.load().refusesConnections(System.nanoTime()));
	}

}
