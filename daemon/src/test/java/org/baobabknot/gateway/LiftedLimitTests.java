package org.baobabknot.gateway;

import java.util.List;
import java.util.stream.IntStream;

import org.baobabknot.emulator.EmulatedEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Guards against gateways that keep a limit which its target states no more.
 */
class LiftedLimitTests {

	private static final int GATEWAYS = 6;

	private static final int TARGETS = 4;

	private static final int CALLERS = 18;

	private static final List<Integer> ALL = IntStream.range(0, GATEWAYS).boxed().toList();

	private LimitedFleet fleet;

	@BeforeEach
	void start() throws Exception {
		this.fleet = new LimitedFleet(GATEWAYS, TARGETS);
	}

	@AfterEach
	void stop() {
		this.fleet.close();
	}

	@Nested
	class Lifted {

		@Test
		void isKnownToAllGatewaysAfterOneResponse() throws Exception {
			EmulatedEngine limited = LiftedLimitTests.this.fleet.engines.get(0);
			limited.limitPerSecond = "0.5";
			LiftedLimitTests.this.fleet.send(ALL, CALLERS, LimitedFleet.SETTLING_MS);
			limited.limitPerSecond = "";
			LiftedLimitTests.this.fleet.send(ALL, CALLERS, LimitedFleet.SETTLING_MS);
			assertThat(LiftedLimitTests.this.fleet.gatewaysThatKnowALimit(), is(0L));
		}

	}

}
