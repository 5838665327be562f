package org.baobabknot.placement;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Guards against more senders to a cold target than it bears requests at one moment.
 */
class ColdSendersTests {

	private static final int MAX_SENDERS = 6;

	private static List<String> entries(int count) {
		return IntStream.range(0, count).mapToObj((number) -> "entry-" + number).toList();
	}

	private static long senders(List<String> processes, List<String> known) {
		return processes.stream().filter((process) -> ColdSenders.isSender("t", process, known, MAX_SENDERS)).count();
	}

	@Test
	void areAsManyAsTheTargetBears() {
		assertThat(senders(entries(16), entries(16)), is((long) MAX_SENDERS));
		assertThat(senders(entries(4), entries(4)), is(4L));
	}

	@Test
	void areNoMoreWhereOneOfThemHasLeft() {
		List<String> remaining = entries(16).subList(1, 16);
		assertThat(senders(remaining, entries(16)) <= MAX_SENDERS, is(true));
		assertThat(senders(remaining, remaining), is((long) MAX_SENDERS));
	}

	@Test
	void areNoneThatOthersDoNotKnow() {
		assertThat(ColdSenders.isSender("t", "new", entries(16), MAX_SENDERS), is(false));
		assertThat(ColdSenders.isSender("t", "new", Set.of(), MAX_SENDERS), is(false));
		assertThat(ColdSenders.isSender("t", "new", entries(MAX_SENDERS - 1), MAX_SENDERS), is(true));
	}

}
