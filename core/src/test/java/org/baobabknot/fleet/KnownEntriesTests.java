package org.baobabknot.fleet;

import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of which entries count as running.
 */
class KnownEntriesTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private final KnownEntries known = new KnownEntries();

	@Test
	void noneIsKnownBeforeTheFirstRead() {
		assertThat(this.known.names(), is(Set.of()));
		assertThat(this.known.complete(), is(false));
	}

	@Test
	void anExpiredRegistrationIsKeptUntilItCanBeWrittenAgain() {
		this.known.recordRead(Set.of("a", "b"), 0);
		this.known.recordRead(Set.of("a"), 60 * SECOND);
		assertThat(this.known.names(), is(Set.of("a", "b")));
		assertThat(this.known.complete(), is(false));
		this.known.recordRead(Set.of("a", "b"), 70 * SECOND);
		assertThat(this.known.complete(), is(true));
	}

	/**
	 * Guards against an entry that has left for good and makes the others take their list
	 * for incomplete from then on, so that all of them send to a cold target.
	 */
	@Test
	void theListIsCompleteAgainAfterAnEntryHasLeft() {
		this.known.recordRead(Set.of("a", "b"), 0);
		this.known.recordRead(Set.of("a"), 10 * SECOND);
		this.known.recordRead(Set.of("a"), 41 * SECOND);
		assertThat(this.known.names(), is(Set.of("a")));
		assertThat(this.known.complete(), is(true));
	}

}
