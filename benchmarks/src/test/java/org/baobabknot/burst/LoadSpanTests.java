package org.baobabknot.burst;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link LoadSpan}.
 */
class LoadSpanTests {

	// Guards against a violated switch limit that goes unnoticed because overlaps are not
	// counted.
	@Test
	void countsOverlappingLoads() {
		assertThat(LoadSpan.maxOverlap(List.of(span(0, 10), span(5, 15), span(9, 12), span(20, 30))), is(3));
	}

	// Guards against counting a load that begins when another ends as an overlap.
	@Test
	void doesNotCountLoadsThatFollowEachOther() {
		assertThat(LoadSpan.maxOverlap(List.of(span(0, 10), span(10, 20), span(20, 30))), is(1));
	}

	private static LoadSpan span(long from, long to) {
		return new LoadSpan("niederbayern-1", from, to);
	}

}
