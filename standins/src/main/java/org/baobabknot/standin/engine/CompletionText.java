package org.baobabknot.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

import org.baobabknot.weights.Digests;

/**
 * Generates the completion of an engine as a function of the loaded digest and the
 * prompt, so that tests can compute the expected response.
 */
public final class CompletionText {

	private static final long MIX_FACTOR = 0x9E3779B97F4A7C15L;

	private CompletionText() {
	}

	/**
	 * Returns the seed of a completion.
	 * @param digest digest of the loaded bytes
	 * @param prompt the prompt
	 * @return the seed
	 */
	static long seed(String digest, String prompt) {
		byte[] hash = Digests.sha256().digest((digest + "\n" + prompt).getBytes(StandardCharsets.UTF_8));
		long seed = 0;
		for (int index = 0; index < Long.BYTES; index++) {
			seed = (seed << Byte.SIZE) | (hash[index] & 0xFF);
		}
		return seed;
	}

	/**
	 * Returns one token.
	 * @param seed the seed of the completion
	 * @param index the index of the token from 0
	 * @return 8 hexadecimal digits and a space
	 */
	static String token(long seed, int index) {
		long mixed = (seed + index * MIX_FACTOR) * MIX_FACTOR;
		return HexFormat.of().toHexDigits((int) (mixed ^ (mixed >>> 32))) + " ";
	}

	/**
	 * Returns the complete text of a completion.
	 * @param digest digest of the loaded bytes, in lower-case hexadecimal
	 * @param prompt the prompt
	 * @param tokens the number of tokens
	 * @return the text
	 */
	public static String generate(String digest, String prompt, int tokens) {
		long seed = seed(digest, prompt);
		StringBuilder text = new StringBuilder();
		for (int index = 0; index < tokens; index++) {
			text.append(token(seed, index));
		}
		return text.toString();
	}

}
