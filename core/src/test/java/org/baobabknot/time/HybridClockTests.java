package org.baobabknot.time;

import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link HybridClock} and {@link Timeline}.
 */
class HybridClockTests {

	private final AtomicLong wall = new AtomicLong(1_000);

	private final HybridClock clock = new HybridClock(this.wall::get);

	// Guards against events that are out of order after the wall clock steps back.
	@Test
	void increasesWhenTheWallClockStepsBack() {
		long before = this.clock.now();
		this.wall.set(10);
		assertThat(this.clock.now(), greaterThan(before));
	}

	// Guards against a response that sorts before the message that caused it.
	@Test
	void followsObservedReadings() {
		long remote = HybridClock.pack(5_000, 3);
		this.clock.observe(remote);
		long next = this.clock.now();
		assertThat(next, is(remote + 1));
		assertThat(HybridClock.millis(next), is(5_000L));
	}

	// Guards against a timeline that grows without bound or loses its newest event.
	@Test
	void keepsTheLatestEvents() {
		Timeline timeline = new Timeline(2);
		for (int event = 1; event <= 3; event++) {
			timeline.append(new TimelineEvent(event, "a", "kind", ""));
		}
		assertThat(timeline.after(0, 10).stream().map(TimelineEvent::clock).toList(), contains(2L, 3L));
		assertThat(timeline.after(2, 10), hasSize(1));
		assertThat(timeline.after(0, 1), hasSize(1));
	}

}
