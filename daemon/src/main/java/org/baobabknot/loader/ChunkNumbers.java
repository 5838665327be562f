package org.baobabknot.loader;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes a set of chunk numbers as a hexadecimal bit set, which keeps a request for all
 * chunks of a version short.
 */
final class ChunkNumbers {

	/** Maximum length of an encoded bit set, in hexadecimal digits. */
	private static final int MAX_DIGITS = 2_000;

	private static final int RADIX = 16;

	private ChunkNumbers() {
	}

	static String encode(List<Integer> numbers) {
		BigInteger bits = BigInteger.ZERO;
		for (int number : numbers) {
			bits = bits.setBit(number);
		}
		return bits.toString(RADIX);
	}

	/**
	 * Decodes a bit set.
	 * @param text hexadecimal digits
	 * @return the chunk numbers, empty if the text is malformed
	 */
	static List<Integer> decode(String text) {
		List<Integer> numbers = new ArrayList<>();
		if (text.length() > MAX_DIGITS || !text.matches("[0-9a-f]+")) {
			return numbers;
		}
		BigInteger bits = new BigInteger(text, RADIX);
		for (int number = 0; number < bits.bitLength(); number++) {
			if (bits.testBit(number)) {
				numbers.add(number);
			}
		}
		return numbers;
	}

	/**
	 * Parses a decimal number.
	 * @param text decimal digits
	 * @return the number, -1 if the text is malformed
	 */
	static int parseNumber(String text) {
		return (text.matches("[0-9]{1,9}")) ? Integer.parseInt(text) : -1;
	}

}
