package org.baobabknot.link;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of the transfers on their way, on a clock that the tests advance.
 */
class BulkWindowTests {

	private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);

	private final BulkWindow window = new BulkWindow();

	private int started(double linkDelayMs, long nowMs) {
		int count = 0;
		while (this.window.tryStart(linkDelayMs, nowMs * MS)) {
			count++;
		}
		return count;
	}

	@Nested
	class Growth {

		@Test
		void oneTransferStartsAtFirstAndTwoForEachFastOneAfterIt() {
			assertThat(started(0, 0), is(1));
			BulkWindowTests.this.window.arrived(40, 5, 40 * MS);
			assertThat(started(0, 40), is(2));
			BulkWindowTests.this.window.arrived(60, 5, 100 * MS);
			assertThat(started(0, 100), is(2));
		}

		@Test
		void theWindowHasALimit() {
			for (int turn = 1; turn <= 40; turn++) {
				started(0, turn);
				BulkWindowTests.this.window.arrived(10, 5, turn * MS);
			}
			started(0, 50);
			assertThat(BulkWindowTests.this.window.onTheWay(), is(BulkWindow.MOST));
		}

		@Test
		void aPauseForgetsWhatIsKnownOfTheLink() {
			for (int turn = 1; turn <= 10; turn++) {
				started(0, turn);
				BulkWindowTests.this.window.arrived(10, 5, turn * MS);
			}
			while (BulkWindowTests.this.window.onTheWay() > 0) {
				BulkWindowTests.this.window.refused();
			}
			assertThat(started(0, 5_000), is(1));
		}

	}

	@Nested
	class FilledLinks {

		@Test
		void nothingElseStartsWhileTheLinkIsFilled() {
			assertThat(started(0, 0), is(1));
			BulkWindowTests.this.window.arrived(40, 5, 40 * MS);
			assertThat(started(300, 40), is(0));
			assertThat("one at a time goes on", started(300, 700), is(1));
			assertThat(started(300, 1_500), is(0));
		}

		@Test
		void oneSlowSenderSaysNothingOfTheOwnLink() {
			started(0, 0);
			BulkWindowTests.this.window.arrived(900, 5, 900 * MS);
			started(0, 900);
			BulkWindowTests.this.window.arrived(40, 5, 940 * MS);
			started(0, 940);
			BulkWindowTests.this.window.arrived(900, 5, 1_840 * MS);
			assertThat(BulkWindowTests.this.window.slow(1_840 * MS), is(false));
		}

		@Test
		void threeSlowTransfersAreFollowedByAPause() {
			assertThat(slowUntilMs(), is(900L));
			assertThat(BulkWindowTests.this.window.slow(900 * MS), is(true));
			assertThat(started(0, 950), is(0));
			assertThat(started(0, 1_250), is(1));
		}

		/** Guards against a loader that turns others away for good. */
		@Test
		void aLinkThatWasSlowIsTriedAgain() {
			slowUntilMs();
			assertThat(BulkWindowTests.this.window.slow(10_000 * MS), is(false));
		}

		private long slowUntilMs() {
			long now = 0;
			for (int turn = 0; turn < 3; turn++) {
				started(0, now);
				now += 300;
				BulkWindowTests.this.window.arrived(300, 5, now * MS);
			}
			return now;
		}

	}

}
