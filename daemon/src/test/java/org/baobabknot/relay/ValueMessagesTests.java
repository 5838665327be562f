package org.baobabknot.relay;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of the compression of values.
 */
class ValueMessagesTests {

	private static final byte[] VALUE = "{\"routes\":[{\"name\":\"a\"},{\"name\":\"b\"}]}".repeat(500)
		.getBytes(StandardCharsets.UTF_8);

	private static boolean rejected(byte[] deflated) {
		try {
			ValueMessages.inflate(deflated);
			return false;
		}
		catch (IllegalArgumentException ex) {
			return true;
		}
	}

	@Test
	void aValueIsRestoredUnchanged() {
		byte[] deflated = ValueMessages.deflate(VALUE);
		assertThat(Arrays.equals(ValueMessages.inflate(deflated), VALUE), is(true));
		assertThat(deflated.length < VALUE.length / 10, is(true));
	}

	@Test
	void damagedOrIncompleteBytesAreNeverDecodedToAnotherValue() {
		byte[] deflated = ValueMessages.deflate(VALUE);
		SplittableRandom random = new SplittableRandom(7);
		for (int round = 0; round < 2_000; round++) {
			byte[] damaged = deflated.clone();
			int position = random.nextInt(damaged.length);
			damaged[position] ^= (byte) (1 + random.nextInt(255));
			assertThat("byte " + position, rejected(damaged) || Arrays.equals(ValueMessages.inflate(damaged), VALUE),
					is(true));
			assertThat(rejected(Arrays.copyOf(deflated, random.nextInt(deflated.length))), is(true));
		}
	}

	@Test
	void aValueThatInflatesBeyondTheLimitIsRejected() {
		assertThat(rejected(ValueMessages.deflate(new byte[ValueMessages.MAX_MESSAGE_BYTES * 2])), is(true));
	}

}
