package org.baobabknot.gateway;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.baobabknot.emulator.EmulatedEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Tests that targets get what the limits that they state allow.
 */
class TargetLimitUseTests {

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

	private static double perSecond(EmulatedEngine engine, long fromNanos) {
		return LimitedFleet.arrivals(engine, fromNanos).size()
				/ ((System.nanoTime() - fromNanos) / (double) TimeUnit.SECONDS.toNanos(1));
	}

	private double useOf(double limit, List<Integer> gateways) throws InterruptedException {
		EmulatedEngine limited = this.fleet.engines.get(0);
		limited.limitPerSecond = Double.toString(limit);
		this.fleet.send(gateways, CALLERS, LimitedFleet.SETTLING_MS);
		long from = System.nanoTime();
		this.fleet.send(gateways, CALLERS, DURATION_MS);
		return perSecond(limited, from) / limit;
	}

	@Nested
	class Limited {

		@Test
		void withCallersAtAllGateways() throws Exception {
			assertThat(useOf(4, ALL), greaterThan(0.8));
		}

		@Test
		void withCallersAtFewGateways() throws Exception {
			assertThat(useOf(4, List.of(1, 4)), greaterThan(0.7));
		}

		@Test
		void aLimitAboveTheTrafficChangesNothing() throws Exception {
			TargetLimitUseTests.this.fleet.engines.forEach((engine) -> engine.limitPerSecond = "1e9");
			TargetLimitUseTests.this.fleet.send(ALL, CALLERS, DURATION_MS);
			assertThat(TargetLimitUseTests.this.fleet.refused.get(), is(0));
		}

	}

	@Nested
	class Lifted {

		@Test
		void isUsedAsTheOthersSoon() throws Exception {
			EmulatedEngine limited = TargetLimitUseTests.this.fleet.engines.get(0);
			limited.limitPerSecond = "2";
			TargetLimitUseTests.this.fleet.send(ALL, CALLERS, LimitedFleet.SETTLING_MS);
			limited.limitPerSecond = "";
			TargetLimitUseTests.this.fleet.send(ALL, CALLERS, LimitedFleet.SETTLING_MS);
			long from = System.nanoTime();
			TargetLimitUseTests.this.fleet.send(ALL, CALLERS, LimitedFleet.SETTLING_MS);
			double others = TargetLimitUseTests.this.fleet.engines.stream()
				.skip(1)
				.mapToDouble((engine) -> perSecond(engine, from))
				.average()
				.orElse(0);
			assertThat(perSecond(limited, from) / others, greaterThan(0.9));
		}

		@Test
		void isKnownWhereTheTargetGotNothing() throws Exception {
			EmulatedEngine limited = TargetLimitUseTests.this.fleet.engines.get(0);
			limited.limitPerSecond = "0";
			TargetLimitUseTests.this.fleet.send(ALL, CALLERS, LimitedFleet.SETTLING_MS);
			limited.limitPerSecond = "";
			TargetLimitUseTests.this.fleet.send(ALL, CALLERS, 2 * LimitedFleet.SETTLING_MS);
			long from = System.nanoTime();
			TargetLimitUseTests.this.fleet.send(ALL, CALLERS, LimitedFleet.SETTLING_MS);
			assertThat(perSecond(limited, from), greaterThan(10.0));
		}

	}

	@Nested
	class AllLimited {

		@Test
		void requestsAreRefusedAtOnceOrServed() throws Exception {
			TargetLimitUseTests.this.fleet.engines.forEach((engine) -> engine.limitPerSecond = "8");
			TargetLimitUseTests.this.fleet.send(ALL, CALLERS, LimitedFleet.SETTLING_MS);
			long from = System.nanoTime();
			TargetLimitUseTests.this.fleet.send(ALL, CALLERS, DURATION_MS);
			double used = TargetLimitUseTests.this.fleet.engines.stream()
				.mapToDouble((engine) -> perSecond(engine, from))
				.sum() / (8 * TARGETS);
			assertThat(used, greaterThan(0.8));
			assertThat(TargetLimitUseTests.this.fleet.slowlyRefused.get(), is(0));
		}

	}

}
