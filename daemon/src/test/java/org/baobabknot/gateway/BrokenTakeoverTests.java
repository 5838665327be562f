package org.baobabknot.gateway;

import java.util.List;
import java.util.function.Consumer;

import org.baobabknot.emulator.EmulatedEngine;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests that a stream returns to its paused target when the one that has taken it over
 * fails.
 */
class BrokenTakeoverTests extends PausedStreams {

	/** Event at which the second target fails, after it has brought one. */
	private static final int FAILED_EVENT = PAUSED_EVENT + 1;

	private static List<Long> resumedAfter(EmulatedEngine engine) {
		return engine.receivedRequests().stream().map(EmulatedEngine.ReceivedRequest::lastEventId).toList();
	}

	@Nested
	class Streams {

		private EmulatedEngine assertWholeWhen(Consumer<EmulatedEngine> failure) throws Exception {
			EmulatedEngine paused = addPausingTarget();
			failure.accept(addTarget("t2", "b"));
			BrokenTakeoverTests.this.fixture.start();
			assertWhole(BrokenTakeoverTests.this.fixture.callStream("r1"));
			return paused;
		}

		@Test
		void goOnWhenTheOtherTargetBreaksOff() throws Exception {
			EmulatedEngine paused = assertWholeWhen((other) -> other.breakOffAtEvent = FAILED_EVENT);
			assertThat(resumedAfter(paused), is(List.of(-1L, (long) PAUSED_EVENT)));
		}

		@Test
		void goOnWhenTheOtherTargetEndsInsideAnEvent() throws Exception {
			EmulatedEngine paused = assertWholeWhen((other) -> other.endInsideEvent = FAILED_EVENT);
			assertThat(resumedAfter(paused), is(List.of(-1L, (long) PAUSED_EVENT)));
		}

		@Test
		void goOnWhenTheOtherTargetCrashes() throws Exception {
			assertWholeWhen((other) -> other.crashAtEvent = FAILED_EVENT);
		}

		@Test
		void goOnWhenTheOtherTargetAnswersWithAnotherStart() throws Exception {
			assertWholeWhen((other) -> other.restartAtEvent = FAILED_EVENT);
		}

	}

	/** A target that has failed, and not only paused, is not asked again. */
	@Nested
	class FailedTargets {

		@Test
		void areNotAskedAgain() throws Exception {
			EmulatedEngine first = addTarget("t1", "a");
			first.breakOffAtEvent = PAUSED_EVENT;
			EmulatedEngine second = addTarget("t2", "b");
			second.breakOffAtEvent = FAILED_EVENT;
			BrokenTakeoverTests.this.fixture.start();
			assertThat(BrokenTakeoverTests.this.fixture.callStream("r1").complete(), is(false));
			assertThat(resumedAfter(first), is(List.of(-1L)));
			assertThat(resumedAfter(second), is(List.of(PAUSED_EVENT - 1L)));
		}

	}

	/** Targets whose pauses between all events are longer than tolerated. */
	@Nested
	class SlowTargets {

		private static final int MAX_RUNS = 4;

		private EmulatedEngine addSlowTarget(String id, String domain) {
			EmulatedEngine engine = addTarget(id, domain);
			engine.eventIntervalMs = 1_200;
			engine.eventsPerStream = 20;
			return engine;
		}

		@Test
		void doNotGetAStreamBackWithEachEvent() throws Exception {
			EmulatedEngine first = addSlowTarget("t1", "a");
			EmulatedEngine second = addSlowTarget("t2", "b");
			BrokenTakeoverTests.this.fixture.start();
			BrokenTakeoverTests.this.fixture.callStream("r1");
			assertThat(first.receivedRequests().size() + second.receivedRequests().size(), lessThanOrEqualTo(MAX_RUNS));
		}

	}

}
