package org.baobabknot.distribution;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests for {@link LoadTiming}.
 */
class LoadTimingTests {

	private static final double MANDATORY_AFTER_MS = 8_000;

	private static final double DRAIN_MS = 1_400;

	private static final double LOAD_MS = 300;

	@Test
	void loadsStartWhenAllHoldTheVersionAndEndBeforeItIsMandatory() {
		LoadTiming timing = LoadTiming.of(2_359_296, 638_750, LOAD_MS, MANDATORY_AFTER_MS);
		assertThat(timing.loadDueMs(0, 14), is(closeTo(4_617, 5)));
		assertThat(timing.loadDueMs(13, 14), lessThanOrEqualTo(MANDATORY_AFTER_MS));
	}

	/**
	 * While an engine drains, half of its capacity is lost on average, and while it
	 * loads, all of it.
	 */
	@Test
	void loadsAreSpreadSoThatMostEnginesServe() {
		LoadTiming timing = LoadTiming.of(2_359_296, 638_750, LOAD_MS, MANDATORY_AFTER_MS);
		int engines = 14;
		double spreadSeconds = (timing.loadDueMs(engines - 1, engines) - timing.loadDueMs(0, engines)) / 1_000;
		double unavailableEngines = engines / spreadSeconds * (DRAIN_MS / 2 + LOAD_MS) / 1_000;
		assertThat("engines unavailable at once", unavailableEngines, lessThanOrEqualTo(engines * 0.4));
	}

	@Test
	void onALinkThatIsTooNarrowAllEnginesLoadAtOnce() {
		LoadTiming timing = LoadTiming.of(2_359_296, 200_000, LOAD_MS, MANDATORY_AFTER_MS);
		assertThat(timing.loadDueMs(13, 14), is(timing.loadDueMs(0, 14)));
		assertThat(timing.loadDueMs(0, 14), greaterThanOrEqualTo(MANDATORY_AFTER_MS));
	}

	@Test
	void aSingleEngineLoadsAsSoonAsItHoldsTheVersion() {
		LoadTiming timing = LoadTiming.of(2_359_296, 638_750, LOAD_MS, MANDATORY_AFTER_MS);
		assertThat(timing.loadDueMs(0, 1), is(timing.fetchMs()));
	}

}
