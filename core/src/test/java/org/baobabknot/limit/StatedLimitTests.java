package org.baobabknot.limit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of the limit that responses in any order state.
 */
class StatedLimitTests {

	private final StatedLimit limit = new StatedLimit();

	private boolean merge(double rate, long sent, long received) {
		return this.limit.merge(new LimitStatement(rate, sent, received));
	}

	@Test
	void aTargetThatStatesNothingIsNotLimited() {
		assertThat(merge(LimitStatement.UNLIMITED, 1, 2), is(false));
		assertThat(this.limit.limited(), is(false));
	}

	@Nested
	class Lower {

		@Test
		void holdsAtOnce() {
			assertThat(merge(3, 10, 20), is(true));
			assertThat(merge(2, 5, 25), is(true));
			assertThat(StatedLimitTests.this.limit.ratePerSecond(), is(2.0));
		}

		@Test
		void anOlderResponseDoesNotLowerIt() {
			merge(3, 10, 20);
			assertThat(merge(1, 5, 15), is(false));
			assertThat(StatedLimitTests.this.limit.ratePerSecond(), is(3.0));
		}

		@Test
		void zeroIsALimit() {
			merge(0, 10, 20);
			assertThat(StatedLimitTests.this.limit.limited(), is(true));
		}

	}

	@Nested
	class Higher {

		@Test
		void aResponseThatMayBeOlderDoesNotRaiseIt() {
			merge(2, 10, 20);
			assertThat(merge(5, 15, 30), is(false));
			assertThat(merge(LimitStatement.UNLIMITED, 20, 30), is(false));
			assertThat(StatedLimitTests.this.limit.ratePerSecond(), is(2.0));
		}

		@Test
		void aLaterRequestRaisesIt() {
			merge(2, 10, 20);
			assertThat(merge(5, 21, 30), is(true));
			assertThat(merge(LimitStatement.UNLIMITED, 31, 40), is(true));
			assertThat(StatedLimitTests.this.limit.limited(), is(false));
		}

		@Test
		void aRepeatedStatementHoldsItLonger() {
			merge(2, 10, 20);
			merge(2, 21, 30);
			assertThat(merge(LimitStatement.UNLIMITED, 25, 40), is(false));
		}

	}

}
