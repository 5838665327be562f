package org.baobabknot.limit;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of the permits that a process holds.
 */
class PermitHolderTests {

	private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);

	private final PermitHolder holder = new PermitHolder();

	@Test
	void aPermitIsUsedOnce() {
		this.holder.add(1, 0);
		assertThat(this.holder.tryUse(MS), is(true));
		assertThat(this.holder.tryUse(MS), is(false));
	}

	@Test
	void aPermitExpires() {
		this.holder.add(5, 0);
		assertThat(this.holder.tryUse(199 * MS), is(true));
		assertThat(this.holder.tryUse(200 * MS), is(false));
		assertThat(this.holder.tryUse(201 * MS), is(false));
	}

	@Test
	void theWaitEndsWithAPermitOrItsTime() {
		assertThat(this.holder.waitMs(0), is(0.0));
		this.holder.retryAt(300 * MS);
		assertThat(this.holder.waitMs(100 * MS), is(200.0));
		this.holder.add(1, 100 * MS);
		assertThat(this.holder.waitMs(100 * MS), is(0.0));
		assertThat(this.holder.waitMs(301 * MS), is(0.0));
	}

}
