package org.baobabknot.distribution;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link VersionSkipPolicy}. A version takes 4.5 s to reach all members and 0.5
 * s to load, and is mandatory after 8 s.
 */
class VersionSkipPolicyTests {

	private static final VersionSkipPolicy POLICY = new VersionSkipPolicy(4_500, 500, 8_000);

	@Test
	void aVersionIsSkippedWhenTheNewerOneIsReadyBeforeItIsMandatory() {
		assertThat(POLICY.shouldSkip(0, 2_000, false, 2_000), is(true));
	}

	@Test
	void aVersionThatServesUntilTheNewerOneIsReadyIsNotSkipped() {
		assertThat(POLICY.shouldSkip(0, 4_000, false, 4_000), is(false));
		assertThat(POLICY.shouldSkip(0, 6_000, true, 6_000), is(false));
	}

	@Test
	void afterAnOutageAVersionThatWouldHardlyServeIsSkipped() {
		// No chunk arrived until 9 s; the newer version is mandatory at 10 s.
		assertThat(POLICY.shouldSkip(0, 2_000, false, 9_700), is(true));
	}

	@Test
	void aCompleteVersionIsLoadedWhileTheNewerOneIsFarFromReady() {
		assertThat(POLICY.shouldSkip(0, 6_000, true, 8_000), is(false));
	}

	@Test
	void aVersionThatWasSupersededBeforeItsLoadIsSkipped() {
		assertThat(POLICY.shouldSkip(0, 2_000, true, 10_500), is(true));
	}

}
