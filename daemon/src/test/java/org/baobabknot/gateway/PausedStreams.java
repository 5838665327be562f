package org.baobabknot.gateway;

import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.emulator.EmulatedEngine;
import org.junit.jupiter.api.AfterEach;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Fixture of a stream whose sound target pauses in the middle, so that another one is
 * asked to go on.
 */
abstract class PausedStreams {

	/** Longer than any silence after which another target is tried. */
	static final long PAUSE_MS = 1_500;

	/** Event before which the target pauses. */
	static final int PAUSED_EVENT = 2;

	private static final int EVENTS = 5;

	final GatewayFixture fixture = new GatewayFixture();

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	EmulatedEngine addTarget(String id, String domain) {
		return this.fixture.addEngine(id, "models", domain, GatewayFixture.MODEL);
	}

	EmulatedEngine addPausingTarget() {
		EmulatedEngine engine = addTarget("t1", "a");
		engine.pauseAtEvent = PAUSED_EVENT;
		engine.pauseMs = PAUSE_MS;
		return engine;
	}

	static String events() {
		StringBuilder text = new StringBuilder();
		for (int number = 0; number < EVENTS; number++) {
			text.append("id: ").append(number).append("\ndata: e").append(number).append("\n\n");
		}
		return text.toString();
	}

	static void assertWhole(EmulatedCaller.Response response) {
		assertThat(response.status(), is(200));
		assertThat(response.body(), is(events()));
		assertThat(response.complete(), is(true));
	}

}
