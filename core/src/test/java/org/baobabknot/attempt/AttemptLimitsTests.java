package org.baobabknot.attempt;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link AttemptLimits}.
 */
class AttemptLimitsTests {

	private static final int MAX_TARGETS = 2;

	private final AttemptLimits limits = new AttemptLimits(0);

	@Nested
	class Targets {

		@Test
		void areLimitedByTheOperators() {
			AttemptLimitsTests.this.limits.recordSent("t1");
			assertThat(AttemptLimitsTests.this.limits.allowsFurtherTarget(MAX_TARGETS), is(true));
			AttemptLimitsTests.this.limits.recordSent("t2");
			assertThat(AttemptLimitsTests.this.limits.allowsFurtherTarget(MAX_TARGETS), is(false));
			assertThat(AttemptLimitsTests.this.limits.allowsAnotherTarget(MAX_TARGETS), is(false));
		}

		@Test
		void thatDidNotRunTheRequestLeaveTheirPlace() {
			AttemptLimitsTests.this.limits.recordSent("t1");
			AttemptLimitsTests.this.limits.recordSent("t2");
			AttemptLimitsTests.this.limits.recordNotRun(false, true);
			assertThat(AttemptLimitsTests.this.limits.allowsFurtherTarget(MAX_TARGETS), is(true));
			assertThat(AttemptLimitsTests.this.limits.tried(), containsInAnyOrder("t1", "t2"));
			assertThat(AttemptLimitsTests.this.limits.sends(), is(2));
		}

		@Test
		void thatRefuseAreLimitedWithoutThoseThatHaveCrashed() {
			for (int index = 0; index < 4; index++) {
				AttemptLimitsTests.this.limits.recordSent("t" + index);
				AttemptLimitsTests.this.limits.recordNotRun(false, true);
			}
			AttemptLimitsTests.this.limits.recordSent("crashed");
			AttemptLimitsTests.this.limits.recordNotRun(false, false);
			assertThat(AttemptLimitsTests.this.limits.allowsAfterNotRun(true), is(true));
			AttemptLimitsTests.this.limits.recordSent("t5");
			AttemptLimitsTests.this.limits.recordNotRun(false, true);
			assertThat(AttemptLimitsTests.this.limits.allowsAfterNotRun(true), is(false));
			assertThat(AttemptLimitsTests.this.limits.allowsAfterNotRun(false), is(true));
		}

	}

	@Nested
	class Returns {

		private void leaveFirst() {
			AttemptLimitsTests.this.limits.recordSent("t1");
			AttemptLimitsTests.this.limits.recordSent("t2");
			AttemptLimitsTests.this.limits.recordLeft("t1");
		}

		@Test
		void areNoFurtherTargets() {
			leaveFirst();
			assertThat(AttemptLimitsTests.this.limits.allowsAnotherTarget(MAX_TARGETS), is(true));
			assertThat(AttemptLimitsTests.this.limits.isReturn("t1"), is(true));
			AttemptLimitsTests.this.limits.recordSent("t1");
			assertThat(AttemptLimitsTests.this.limits.left(), is(empty()));
			assertThat(AttemptLimitsTests.this.limits.allowsAnotherTarget(MAX_TARGETS), is(false));
		}

		@Test
		void thatHaveNotRunFreeNoPlace() {
			leaveFirst();
			AttemptLimitsTests.this.limits.recordSent("t1");
			AttemptLimitsTests.this.limits.recordNotRun(true, true);
			assertThat(AttemptLimitsTests.this.limits.allowsFurtherTarget(MAX_TARGETS), is(false));
		}

		@Test
		void areLimited() {
			leaveFirst();
			AttemptLimitsTests.this.limits.recordSent("t1");
			AttemptLimitsTests.this.limits.recordLeft("t2");
			AttemptLimitsTests.this.limits.recordSent("t2");
			AttemptLimitsTests.this.limits.recordLeft("t1");
			assertThat(AttemptLimitsTests.this.limits.allowsReturn(MAX_TARGETS), is(false));
		}

	}

	@Nested
	class TriesToLeave {

		@Test
		void comeAfterAPauseThatGrows() {
			assertThat(AttemptLimitsTests.this.limits.allowsTryToLeave(0), is(true));
			AttemptLimitsTests.this.limits.recordTryToLeave(0);
			assertThat(AttemptLimitsTests.this.limits.allowsTryToLeave(ms(399)), is(false));
			assertThat(AttemptLimitsTests.this.limits.allowsTryToLeave(ms(400)), is(true));
			AttemptLimitsTests.this.limits.recordTryToLeave(ms(400));
			assertThat(AttemptLimitsTests.this.limits.allowsTryToLeave(ms(1_199)), is(false));
			assertThat(AttemptLimitsTests.this.limits.allowsTryToLeave(ms(1_200)), is(true));
		}

		private static long ms(long ms) {
			return TimeUnit.MILLISECONDS.toNanos(ms);
		}

	}

}
