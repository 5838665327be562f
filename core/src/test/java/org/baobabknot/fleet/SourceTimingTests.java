package org.baobabknot.fleet;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests for {@link SourceTiming}.
 */
class SourceTimingTests {

	private static final long CHANGE_MS = 2_000;

	private final SourceTiming timing = SourceTiming.forChangesWithin(CHANGE_MS, 1_250);

	/** One silent source took the whole time in which a change must be in force. */
	@Nested
	class SilentSources {

		@Test
		void twoOfThemLeaveAQuarterOfTheTimeForTheStore() {
			assertThat(SourceTimingTests.this.timing.searchMs(2), is(lessThanOrEqualTo(CHANGE_MS * 3 / 4)));
		}

		@Test
		void oneThatIsCutOffIsLeftInTimeForTheStore() {
			SourceTiming timing = SourceTimingTests.this.timing;
			assertThat(timing.maxAgeMs() + timing.searchWaitMs(), is(lessThanOrEqualTo(CHANGE_MS * 3 / 4)));
		}

	}

	@Nested
	class Confirmations {

		@Test
		void areAsFrequentAsOtherBoundsAsk() {
			assertThat(SourceTiming.forChangesWithin(CHANGE_MS, 300).confirmMs(), is(300L));
		}

		@Test
		void keepASourceUsableBetweenThem() {
			assertThat(SourceTimingTests.this.timing.maxAgeMs() > SourceTimingTests.this.timing.confirmMs(), is(true));
		}

	}

}
