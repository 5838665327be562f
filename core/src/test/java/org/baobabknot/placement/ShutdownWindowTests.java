package org.baobabknot.placement;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link ShutdownWindow}.
 */
class ShutdownWindowTests {

	private static final long DRAIN = TimeUnit.MILLISECONDS.toNanos(3_500);

	private static final long END = TimeUnit.SECONDS.toNanos(8);

	private static boolean admits(long deadlineMs) {
		return new ShutdownWindow(DRAIN, END).arrival(0, TimeUnit.MILLISECONDS.toNanos(deadlineMs)).admitted();
	}

	@Nested
	class Admitted {

		@Test
		void aRequestThatEndsBeforeTheProcess() {
			assertThat(admits(7_900), is(true));
		}

	}

	@Nested
	class Refused {

		@Test
		void aRequestWhoseLastBytesCouldBeCutOff() {
			assertThat(admits(7_901), is(false));
		}

		@Test
		void aRequestThatMayLastLongerThanTheProcess() {
			assertThat(admits(9_200), is(false));
		}

		@Test
		void theClockMayOverflow() {
			long end = Long.MAX_VALUE - 10;
			assertThat(new ShutdownWindow(end - DRAIN, end).arrival(end - END, end + TimeUnit.SECONDS.toNanos(1))
				.admitted(), is(false));
		}

	}

}
