package org.baobabknot.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.emulator.EmulatedEngine;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests that a stream which has begun is not broken off because the targets that could
 * run its rest have no room at the moment.
 */
class FullTakeoverTests extends PausedStreams {

	private static final int FULL = 200;

	private static final long FULL_MS = 500;

	private static final long TIMEOUT_SECONDS = 10;

	private CompletableFuture<EmulatedCaller.Response> call() {
		return this.fixture.callAsync("POST", "/texts/x", "r1",
				EmulatedCaller.modelHeaders(GatewayFixture.MODEL, 100, 30) + EmulatedCaller.deadlineHeader(5_000));
	}

	private void assertWholeAfterRoom(EmulatedEngine full) throws Exception {
		this.fixture.start();
		// The gateway learns of the target with its first report.
		this.fixture.reportLoad(full, FULL, true);
		CompletableFuture<EmulatedCaller.Response> response = call();
		Thread.sleep(FULL_MS);
		this.fixture.reportLoad(full, 0, true);
		assertWhole(response.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
		assertThat(full.receivedRequests().isEmpty(), is(false));
	}

	@Nested
	class Streams {

		@Test
		void goOnWhenAFurtherTargetHasRoomAgain() throws Exception {
			addTarget("t1", "a").breakOffAtEvent = PAUSED_EVENT;
			assertWholeAfterRoom(addTarget("t2", "b"));
		}

		// Guards against a stream that is cut because the limits that targets state are
		// used up for a moment.
		@Test
		void goOnWhenTheLimitOfAFurtherTargetAllowsIt() throws Exception {
			addTarget("t1", "a").breakOffAtEvent = PAUSED_EVENT;
			EmulatedEngine limited = addTarget("t2", "b");
			limited.limitPerSecond = "0.4";
			FullTakeoverTests.this.fixture.start();
			// The first one learns of the limit, and the second one uses it up.
			for (int number = 1; number <= 3; number++) {
				assertWhole(call().get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
				assertThat(limited.receivedRequests().size(), is(number));
			}
		}

	}

	/** Each target is left once for the other one, and the first one fails at last. */
	@Nested
	class LeftTargets {

		@Test
		void areAskedAgainAfterTheirPause() throws Exception {
			EmulatedEngine first = addPausingTarget();
			first.breakOffAtEvent = PAUSED_EVENT + 2;
			EmulatedEngine second = addTarget("t2", "b");
			second.pauseAtEvent = PAUSED_EVENT + 1;
			second.pauseMs = PAUSE_MS;
			FullTakeoverTests.this.fixture.start();
			CompletableFuture<EmulatedCaller.Response> response = call();
			GatewayFixture.await(() -> first.receivedRequests().size() == 2);
			FullTakeoverTests.this.fixture.reportLoad(second, FULL, true);
			Thread.sleep(FULL_MS);
			FullTakeoverTests.this.fixture.reportLoad(second, 0, true);
			assertWhole(response.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
			assertThat(second.receivedRequests().size(), is(2));
		}

	}

}
