package org.baobabknot.link;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link BulkWindow} with a simulated clock.
 */
class BulkWindowTests {

	private static final long NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

	private final BulkWindow window = new BulkWindow();

	private int startTransfers(double linkDelayMs, long nowMs) {
		int count = 0;
		while (this.window.tryStart(linkDelayMs, nowMs * NANOS_PER_MS)) {
			count++;
		}
		return count;
	}

	@Nested
	class Growth {

		@Test
		void oneTransferStartsFirstThenTwoForEachFastOne() {
			assertThat(startTransfers(0, 0), is(1));
			BulkWindowTests.this.window.recordArrival(40, 5, 40 * NANOS_PER_MS);
			assertThat(startTransfers(0, 40), is(2));
			BulkWindowTests.this.window.recordArrival(60, 5, 100 * NANOS_PER_MS);
			assertThat(startTransfers(0, 100), is(2));
		}

		@Test
		void theWindowHasALimit() {
			for (int step = 1; step <= 40; step++) {
				startTransfers(0, step);
				BulkWindowTests.this.window.recordArrival(10, 5, step * NANOS_PER_MS);
			}
			startTransfers(0, 50);
			assertThat(BulkWindowTests.this.window.inFlight(), is(BulkWindow.MAX_TRANSFERS));
		}

		@Test
		void anIdlePeriodResetsTheWindow() {
			for (int step = 1; step <= 10; step++) {
				startTransfers(0, step);
				BulkWindowTests.this.window.recordArrival(10, 5, step * NANOS_PER_MS);
			}
			while (BulkWindowTests.this.window.inFlight() > 0) {
				BulkWindowTests.this.window.recordRefusal();
			}
			assertThat(startTransfers(0, 5_000), is(1));
		}

	}

	@Nested
	class SaturatedLinks {

		@Test
		void noFurtherTransferStartsOnASaturatedLink() {
			assertThat(startTransfers(0, 0), is(1));
			BulkWindowTests.this.window.recordArrival(40, 5, 40 * NANOS_PER_MS);
			assertThat(startTransfers(300, 40), is(0));
			assertThat("single transfers continue", startTransfers(300, 700), is(1));
			assertThat(startTransfers(300, 1_500), is(0));
		}

		@Test
		void aSingleSlowSenderDoesNotMarkTheLinkAsSlow() {
			startTransfers(0, 0);
			BulkWindowTests.this.window.recordArrival(900, 5, 900 * NANOS_PER_MS);
			startTransfers(0, 900);
			BulkWindowTests.this.window.recordArrival(40, 5, 940 * NANOS_PER_MS);
			startTransfers(0, 940);
			BulkWindowTests.this.window.recordArrival(900, 5, 1_840 * NANOS_PER_MS);
			assertThat(BulkWindowTests.this.window.isSlow(1_840 * NANOS_PER_MS), is(false));
		}

		@Test
		void threeSlowTransfersAreFollowedByAPause() {
			assertThat(runSlowTransfers(), is(900L));
			assertThat(BulkWindowTests.this.window.isSlow(900 * NANOS_PER_MS), is(true));
			assertThat(startTransfers(0, 950), is(0));
			assertThat(startTransfers(0, 1_250), is(1));
		}

		/** Guards against a loader that refuses other members forever. */
		@Test
		void aSlowLinkIsUsedAgainAfterSomeTime() {
			runSlowTransfers();
			assertThat(BulkWindowTests.this.window.isSlow(10_000 * NANOS_PER_MS), is(false));
		}

		private long runSlowTransfers() {
			long nowMs = 0;
			for (int transfer = 0; transfer < 3; transfer++) {
				startTransfers(0, nowMs);
				nowMs += 300;
				BulkWindowTests.this.window.recordArrival(300, 5, nowMs * NANOS_PER_MS);
			}
			return nowMs;
		}

	}

}
