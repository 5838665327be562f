package org.baobabknot.gateway;

import org.baobabknot.emulator.EmulatedEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests that a target is used as its present entry names it after an entry that named a
 * later start, as another writer or a clock that went back leaves it.
 */
class LaterStartEntryTests {

	private static final String LATER_START = "\"born\":1900000000000";

	private final GatewayFixture fixture = new GatewayFixture();

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	@Test
	void doesNotKeepTheStatementThatTheTargetLeaves() throws Exception {
		EmulatedEngine engine = this.fixture.addEngine("t1", "plain", "a", "");
		engine.statesLeaving = true;
		this.fixture.start();
		String entry = engine.storeEntry("ready");
		long startedMs = startedMs(engine);
		this.fixture.store.putTarget(engine.id(), entry.replaceFirst("\"born\":\\d+", LATER_START));
		GatewayFixture.await(() -> startedMs(engine) > startedMs);
		assertThat(this.fixture.call("GET", "/reads/x", "r1", "").status(), is(200));
		engine.statesLeaving = false;
		this.fixture.store.putTarget(engine.id(), entry);
		GatewayFixture.await(() -> startedMs(engine) == startedMs);
		assertThat(this.fixture.call("GET", "/reads/x", "r2", "").status(), is(200));
	}

	private long startedMs(EmulatedEngine engine) {
		return this.fixture.gateway().view().target(engine.id()).orElseThrow().startedMs();
	}

}
