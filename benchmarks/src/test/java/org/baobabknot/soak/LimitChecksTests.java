package org.baobabknot.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.baobabknot.emulator.EngineBehavior.EngineEvent;
import org.baobabknot.emulator.EngineBehavior.EventKind;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests that the soak counts what exceeds a limit, and excuses only what the rule
 * excuses. A target states 1 request per second from second 10 on.
 */
class LimitChecksTests {

	private final SoakHistory history = new SoakHistory();

	private final List<EngineEvent> events = new ArrayList<>();

	private static long nanos(double seconds) {
		return (long) (seconds * TimeUnit.SECONDS.toNanos(1));
	}

	private void answered(int gateway, double seconds, double limit) {
		this.events.add(new EngineEvent(EventKind.ANSWERED, "r", gateway, nanos(seconds), 0, 200, limit));
	}

	private void received(int gateway, int count, double fromSeconds, double toSeconds) {
		for (int number = 0; number < count; number++) {
			this.events.add(new EngineEvent(EventKind.RECEIVED, "r", gateway,
					nanos(fromSeconds + (toSeconds - fromSeconds) * number / count), 0, 0, Double.POSITIVE_INFINITY));
		}
	}

	private Optional<String> check() {
		answered(0, 10, 1);
		answered(0, 25, 1);
		this.events.sort(Comparator.comparingLong(EngineEvent::nanos));
		return new LimitChecks(this.history).check(this.events);
	}

	@Test
	void whatIsAllowedIsNoViolation() {
		received(0, 11, 14, 17.9);
		assertThat(check(), is(Optional.empty()));
	}

	@Test
	void moreIsOne() {
		received(0, 12, 14, 17.9);
		assertThat(check(), is(Optional.of("12 requests in 4 s, allowed 11")));
	}

	@Test
	void requestsOfTwoGatewaysAreAdded() {
		answered(1, 11, 1);
		received(0, 6, 14, 17.9);
		received(1, 6, 14, 17.9);
		assertThat(check().isPresent(), is(true));
	}

	@Test
	void aGatewayThatWasNotToldDoesNotCount() {
		received(0, 6, 14, 17.9);
		received(1, 20, 14, 17.9);
		assertThat(check(), is(Optional.empty()));
	}

	@Test
	void theFirstSecondsDoNotCount() {
		received(0, 100, 10, 12.9);
		assertThat(check(), is(Optional.empty()));
	}

	@Test
	void aGatewayThatWasDisturbedDoesNotCount() {
		this.history.add(new SoakHistory.Disturbance(0, nanos(13), nanos(13.5), false));
		received(0, 30, 14, 16.4);
		assertThat(check(), is(Optional.empty()));
	}

	@Test
	void nothingCountsAfterTheLimitWasLifted() {
		answered(0, 13.5, Double.POSITIVE_INFINITY);
		received(0, 30, 14, 17);
		answered(0, 17.5, Double.POSITIVE_INFINITY);
		assertThat(check(), is(Optional.empty()));
	}

}
