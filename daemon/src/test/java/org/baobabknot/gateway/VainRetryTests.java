package org.baobabknot.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.emulator.EmulatedEngine;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests that a silent target which a suspected request may not leave costs no retry and
 * no log line in each check.
 */
class VainRetryTests extends SuspectedStreams {

	/** Tries in the pause of the target, with a pause between them that grows. */
	private static final int MAX_TRIES = 4;

	private int silentLines() {
		return this.fixture.logOutput.toString().split("\"attempt-silent\"", -1).length - 1;
	}

	@Nested
	class Streams {

		@Test
		void thatAreQuarantinedAreNotTriedInEachCheck() throws Exception {
			EmulatedEngine paused = addPausingTarget();
			addTarget("t2", "b");
			VainRetryTests.this.fixture.start();
			CompletableFuture<EmulatedCaller.Response> response = callWithPart();
			GatewayFixture.await(() -> paused.runningRequests() == 1);
			Thread.sleep(200);
			reportCrashes(2);
			response.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			assertThat(silentLines(), lessThanOrEqualTo(MAX_TRIES));
		}

		@Test
		void thatArePostponedAreNotTriedInEachCheck() throws Exception {
			EmulatedEngine paused = addPausingTarget();
			EmulatedEngine other = addTarget("t2", "b");
			other.hangingRequestIds.add("r2");
			paused.hangingRequestIds.add("r2");
			VainRetryTests.this.fixture.start();
			CompletableFuture<EmulatedCaller.Response> response = callWithPart();
			GatewayFixture.await(() -> paused.runningRequests() == 1);
			Thread.sleep(200);
			reportCrashes(1);
			VainRetryTests.this.fixture.callAsync("POST", "/texts/x", "r2",
					EmulatedCaller.modelHeaders(GatewayFixture.MODEL, 100, 30)
							+ EmulatedCaller.promptHeader("50d1", "1") + EmulatedCaller.deadlineHeader(5_000));
			response.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			assertThat(silentLines(), lessThanOrEqualTo(MAX_TRIES));
		}

		@Test
		void thatHaveNotBegunDoNotDrawOnTheRetryBudget() throws Exception {
			EmulatedEngine paused = addTarget("t1", "a");
			paused.firstByteDelayMs = 4_000;
			EmulatedEngine other = addTarget("t2", "b");
			other.firstByteDelayMs = 4_000;
			VainRetryTests.this.fixture.start();
			CompletableFuture<EmulatedCaller.Response> response = callWithPart();
			GatewayFixture.await(() -> paused.runningRequests() + other.runningRequests() == 1);
			reportCrashes(1);
			response.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			assertThat(silentLines(), lessThanOrEqualTo(MAX_TRIES));
		}

	}

}
