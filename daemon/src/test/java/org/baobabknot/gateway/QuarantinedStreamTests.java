package org.baobabknot.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.emulator.EmulatedEngine;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests that evidence of crashes does not end a response which a paused target has begun.
 */
class QuarantinedStreamTests extends SuspectedStreams {

	@Nested
	class Streams {

		@Test
		void thatHaveBegunGoOnWhenTheirPartIsQuarantined() throws Exception {
			EmulatedEngine paused = addPausingTarget();
			addTarget("t2", "b");
			QuarantinedStreamTests.this.fixture.start();
			CompletableFuture<EmulatedCaller.Response> response = callWithPart();
			GatewayFixture.await(() -> paused.runningRequests() == 1);
			Thread.sleep(200);
			reportCrashes(2);
			assertWhole(response.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
		}

	}

}
