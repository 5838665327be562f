package org.baobabknot.placement;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests for {@link RetryAfter}.
 */
class RetryAfterTests {

	private static final int CALLERS = 2_000;

	private static final long LEFT_MS = 6_000;

	private final SplittableRandom random = new SplittableRandom(3);

	@ParameterizedTest
	@EnumSource(RetryAfter.class)
	void delayIsAtMostAThirdOfTheCallersTime(RetryAfter policy) {
		for (long leftMs : new long[] { -5, 0, 1, 50, 1_000, LEFT_MS }) {
			for (int caller = 0; caller < CALLERS; caller++) {
				long delayMs = policy.delayMs(this.random.nextInt(5_000), leftMs, this.random);
				assertThat(delayMs, is(both(greaterThanOrEqualTo(1L)).and(lessThanOrEqualTo(Math.max(1, leftMs / 3)))));
			}
		}
	}

	@Test
	void delayIsShortWhenAnotherProcessCanServe() {
		for (int caller = 0; caller < CALLERS; caller++) {
			assertThat(RetryAfter.ELSEWHERE.delayMs(0, LEFT_MS, this.random), lessThan(50L));
		}
	}

	@ParameterizedTest
	@ValueSource(doubles = { 0, 300, 1_000, 10_000 })
	void retriesOfCallersRefusedTogetherAreSpread(double waitMs) {
		int[] tenths = new int[30];
		for (int caller = 0; caller < CALLERS; caller++) {
			tenths[(int) (RetryAfter.LATER.delayMs(waitMs, LEFT_MS, this.random) / 100)]++;
		}
		int maxPerTenth = 0;
		for (int count : tenths) {
			maxPerTenth = Math.max(maxPerTenth, count);
		}
		assertThat("retries in the busiest tenth of a second", maxPerTenth, lessThan(CALLERS / 8));
	}

	/**
	 * The targets are unavailable for four seconds, in which callers arrive evenly. Each
	 * caller retries once.
	 */
	@Test
	void moreCallersAreServedAfterAnOutageThanWithAShortDelay() {
		int served = 0;
		int servedWithShortDelay = 0;
		for (int caller = 0; caller < CALLERS; caller++) {
			double arrivedMs = this.random.nextDouble() * 4_000;
			served += (arrivedMs + RetryAfter.LATER.delayMs(0, LEFT_MS, this.random) >= 4_000) ? 1 : 0;
			servedWithShortDelay += (arrivedMs + 250 + this.random.nextInt(250) >= 4_000) ? 1 : 0;
		}
		assertThat("served, compared with a delay of 250 to 500 ms", served, greaterThan(2 * servedWithShortDelay));
	}

}
