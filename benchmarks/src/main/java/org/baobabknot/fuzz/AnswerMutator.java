package org.baobabknot.fuzz;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

import org.baobabknot.emulator.EngineAnswers;

/**
 * Makes bytes that a target might send, by mutation of answers as targets send them.
 */
final class AnswerMutator {

	private static final int MAX_ANSWERS = 4;

	private static final int MAX_MUTATIONS = 5;

	/** Longer than any limit of the client for a line or a head. */
	private static final int LONG_INSERT_BYTES = 40_000;

	private static final List<String> TOKENS = List.of("\r\n", "\n", "\r", "\0", " ", ":", ";", "0\r\n\r\n",
			"ffffffff\r\n", "-1", "99999999999999999999", "Content-Length: 3\r\n", "Content-Length: 4\r\n",
			"Transfer-Encoding: chunked\r\n", "Transfer-Encoding: identity\r\n", "Request-Id: a\r\n",
			"Request-Id: b\r\n", "Connection: close\r\n", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 101 Switch\r\n\r\n",
			"HTTP/2.0 200 OK\r\n\r\n", "HTTP/1.1 999 \r\n\r\n", "\u00ff", "\t");

	private final SplittableRandom random;

	AnswerMutator(SplittableRandom random) {
		this.random = random;
	}

	/**
	 * Makes the bytes that follow a request.
	 * @return some answers to the calls {@code a} and {@code b}, most of them mutated
	 */
	byte[] next() {
		StringBuilder text = new StringBuilder();
		int answers = 1 + this.random.nextInt(MAX_ANSWERS);
		for (int count = 0; count < answers; count++) {
			String answer = EngineAnswers.TEXTS.get(this.random.nextInt(EngineAnswers.TEXTS.size()));
			text.append(String.format(answer, (this.random.nextInt(3) == 0) ? "a" : "b"));
		}
		byte[] bytes = text.toString().getBytes(StandardCharsets.ISO_8859_1);
		int mutations = this.random.nextInt(MAX_MUTATIONS);
		for (int count = 0; count < mutations; count++) {
			bytes = mutate(bytes);
		}
		return bytes;
	}

	private byte[] mutate(byte[] bytes) {
		if (bytes.length == 0) {
			return bytes;
		}
		int from = this.random.nextInt(bytes.length);
		int to = Math.min(bytes.length, from + 1 + this.random.nextInt(20));
		return switch (this.random.nextInt(7)) {
			case 0 -> flipBit(bytes, from);
			case 1 -> join(bytes, 0, from, bytes, to, bytes.length);
			case 2 -> join(bytes, 0, to, bytes, from, bytes.length);
			case 3 -> Arrays.copyOf(bytes, from);
			case 4, 5 -> insert(bytes, from,
					TOKENS.get(this.random.nextInt(TOKENS.size())).getBytes(StandardCharsets.ISO_8859_1));
			default -> (this.random.nextInt(20) == 0) ? insert(bytes, from, "x".repeat(LONG_INSERT_BYTES).getBytes())
					: flipBit(bytes, from);
		};
	}

	private byte[] flipBit(byte[] bytes, int index) {
		byte[] changed = bytes.clone();
		changed[index] ^= (byte) (1 << this.random.nextInt(8));
		return changed;
	}

	private static byte[] insert(byte[] bytes, int index, byte[] inserted) {
		byte[] begin = join(bytes, 0, index, inserted, 0, inserted.length);
		return join(begin, 0, begin.length, bytes, index, bytes.length);
	}

	private static byte[] join(byte[] first, int firstFrom, int firstTo, byte[] second, int secondFrom, int secondTo) {
		byte[] joined = Arrays.copyOf(Arrays.copyOfRange(first, firstFrom, firstTo),
				firstTo - firstFrom + secondTo - secondFrom);
		System.arraycopy(second, secondFrom, joined, firstTo - firstFrom, secondTo - secondFrom);
		return joined;
	}

}
