package org.baobabknot.gateway;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.baobabknot.emulator.EmulatedEngine;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;

/**
 * Tests that a suspected request, which runs at one target at a time, is not taken from
 * its target because this one pauses.
 */
class SuspectedRequestPauseTests extends SuspectedStreams {

	@Nested
	class Suspects {

		@Test
		void stayAtTheirPausedTarget() throws Exception {
			EmulatedEngine paused = addTarget("t1", "a");
			paused.firstByteDelayMs = PAUSE_MS;
			EmulatedEngine other = addTarget("t2", "b");
			other.firstByteDelayMs = PAUSE_MS;
			SuspectedRequestPauseTests.this.fixture.start();
			reportCrashes(1);
			assertWhole(callWithPart().get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
			assertThat(List.of(paused.receivedRequests(), other.receivedRequests())
				.stream()
				.filter((received) -> !received.isEmpty())
				.toList(), hasSize(1));
		}

	}

	@Nested
	class DeadTargets {

		@Test
		void areLeftInTime() throws Exception {
			EmulatedEngine dead = addTarget("t1", "a");
			addTarget("t2", "b");
			dead.hangingRequestIds.add("r1");
			SuspectedRequestPauseTests.this.fixture.start();
			reportCrashes(1);
			assertWhole(callWithPart().get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
		}

	}

}
