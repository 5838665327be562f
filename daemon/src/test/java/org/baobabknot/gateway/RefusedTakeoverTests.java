package org.baobabknot.gateway;

import java.util.function.Consumer;

import org.baobabknot.emulator.EmulatedEngine;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;

/**
 * Tests that a stream which has begun goes on at its paused target, whatever another
 * target answers to its rest.
 */
class RefusedTakeoverTests extends PausedStreams {

	private void assertWholeBeside(Consumer<EmulatedEngine> refusal) throws Exception {
		addPausingTarget();
		EmulatedEngine other = addTarget("t2", "b");
		refusal.accept(other);
		this.fixture.start();
		assertWhole(this.fixture.callStream("r1"));
		assertThat(other.receivedRequests().size(), greaterThan(0));
	}

	@Nested
	class Answers {

		@ParameterizedTest
		@ValueSource(ints = { 302, 400, 401, 404, 408, 409, 422, 429, 500, 503 })
		void doNotEndTheStream(int status) throws Exception {
			assertWholeBeside((other) -> other.status = status);
		}

	}

	@Nested
	class Refusals {

		@ParameterizedTest
		@ValueSource(ints = { 400, 421, 429, 503 })
		void doNotEndTheStream(int status) throws Exception {
			assertWholeBeside((other) -> {
				other.refusesRequests = true;
				other.refusalStatus = status;
			});
		}

		@Test
		void leaveTheStreamToAThirdTarget() throws Exception {
			addPausingTarget().pauseMs = 10_000;
			EmulatedEngine refusing = addTarget("t2", "b");
			refusing.refusesRequests = true;
			refusing.refusalStatus = 400;
			addTarget("t3", "b");
			RefusedTakeoverTests.this.fixture.start();
			assertWhole(RefusedTakeoverTests.this.fixture.callStream("r1"));
		}

	}

}
