package org.baobabknot.gateway;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of the memory budget for buffers.
 */
class BufferBudgetTests {

	private static final int KIB_BYTES = 1 << 10;

	private final BufferBudget budget = new BufferBudget(1_000 * KIB_BYTES, 800 * KIB_BYTES);

	@Test
	void eachBufferIsLimited() {
		assertThat(this.budget.tryGrow(0, 800 * KIB_BYTES), is(true));
		assertThat(this.budget.tryGrow(800 * KIB_BYTES, 1), is(false));
	}

	@Test
	void allBuffersShareALimitButSmallOnesAlwaysFit() {
		assertThat(this.budget.tryGrow(0, 800 * KIB_BYTES), is(true));
		assertThat(this.budget.tryGrow(0, 400 * KIB_BYTES), is(false));
		assertThat(this.budget.tryGrow(0, 64 * KIB_BYTES), is(true));
		this.budget.release(64 * KIB_BYTES);
		this.budget.release(800 * KIB_BYTES);
		assertThat(this.budget.tryGrow(0, 700 * KIB_BYTES), is(true));
	}

}
