package org.baobabknot.gateway;

import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.emulator.EmulatedEngine;
import org.baobabknot.protocol.generated.LoadReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Tests of the echo that a gateway sends to a loader's probe.
 */
class ProbeTests {

	private static final long FIRST_EVENT_DELAY_MS = 60_000;

	private final GatewayFixture fixture = new GatewayFixture();

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
	}

	@Test
	void aProbeIsEchoedWithTheLatenessOfARequest() throws Exception {
		EmulatedEngine engine = this.fixture.addEngine("t1", "models", "a", GatewayFixture.MODEL);
		engine.firstByteDelayMs = FIRST_EVENT_DELAY_MS;
		this.fixture.start();
		LoadReport before = this.fixture.probe(engine);
		assertThat(before.getProbe(), is(7L));
		assertThat(before.getLateMs(), is(0));
		try (EmulatedCaller caller = this.fixture.caller()) {
			caller.send(EmulatedCaller.request("POST", "/texts/x", "r1",
					EmulatedCaller.modelHeaders(GatewayFixture.MODEL, 10, 10), ""));
			GatewayFixture.await(() -> engine.runningRequests() == 1);
			Thread.sleep(400);
			assertThat(this.fixture.probe(engine).getLateMs(), greaterThan(100));
		}
	}

}
