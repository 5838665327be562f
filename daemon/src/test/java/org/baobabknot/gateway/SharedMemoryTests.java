package org.baobabknot.gateway;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of the memory for answers.
 */
class SharedMemoryTests {

	private static final int KILOBYTE = 1 << 10;

	private final SharedMemory memory = new SharedMemory(1_000 * KILOBYTE, 800 * KILOBYTE);

	@Test
	void oneAnswerIsBounded() {
		assertThat(this.memory.tryGrow(0, 800 * KILOBYTE), is(true));
		assertThat(this.memory.tryGrow(800 * KILOBYTE, 1), is(false));
	}

	@Test
	void allAnswersTogetherAreBoundedButSmallOnesAlwaysHaveRoom() {
		assertThat(this.memory.tryGrow(0, 800 * KILOBYTE), is(true));
		assertThat(this.memory.tryGrow(0, 400 * KILOBYTE), is(false));
		assertThat(this.memory.tryGrow(0, 64 * KILOBYTE), is(true));
		this.memory.release(64 * KILOBYTE);
		this.memory.release(800 * KILOBYTE);
		assertThat(this.memory.tryGrow(0, 700 * KILOBYTE), is(true));
	}

}
