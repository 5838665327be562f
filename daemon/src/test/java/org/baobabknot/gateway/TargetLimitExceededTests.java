package org.baobabknot.gateway;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.baobabknot.emulator.EmulatedEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * A target gets more requests from all gateways together than the limit that it states.
 */
class TargetLimitExceededTests {

	private static final int GATEWAYS = 6;

	private static final int TARGETS = 4;

	private static final int CALLERS = 18;

	private static final long DURATION_MS = LimitedFleet.SETTLING_MS + 5_000;

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

	private static long afterSettling() {
		return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LimitedFleet.SETTLING_MS);
	}

	@Nested
	class OneTarget {

		@ParameterizedTest
		@ValueSource(strings = { "0.5", "2", "10" })
		void withCallersAtAllGateways(String limit) throws Exception {
			checkOne(limit, ALL);
		}

		@Test
		void withCallersAtFewGateways() throws Exception {
			checkOne("2", List.of(1, 4));
		}

		private void checkOne(String limit, List<Integer> gateways) throws Exception {
			EmulatedEngine limited = TargetLimitExceededTests.this.fleet.engines.get(0);
			limited.limitPerSecond = limit;
			long from = afterSettling();
			TargetLimitExceededTests.this.fleet.send(gateways, CALLERS, DURATION_MS);
			assertThat(LimitedFleet.mostInWindow(limited, from),
					lessThanOrEqualTo(LimitedFleet.allowed(Double.parseDouble(limit))));
			assertThat(TargetLimitExceededTests.this.fleet.served.get(), greaterThan(0));
			assertThat(TargetLimitExceededTests.this.fleet.refused.get(), is(0));
		}

	}

	@Nested
	class AllTargets {

		@Test
		void belowTheDemand() throws Exception {
			List<EmulatedEngine> engines = TargetLimitExceededTests.this.fleet.engines;
			engines.forEach((engine) -> engine.limitPerSecond = "3");
			long from = afterSettling();
			TargetLimitExceededTests.this.fleet.send(ALL, CALLERS, DURATION_MS);
			engines.forEach((engine) -> assertThat(LimitedFleet.mostInWindow(engine, from),
					lessThanOrEqualTo(LimitedFleet.allowed(3))));
			assertThat(TargetLimitExceededTests.this.fleet.slowlyRefused.get(), is(0));
		}

	}

}
