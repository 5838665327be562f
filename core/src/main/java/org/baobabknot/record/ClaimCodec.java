package org.baobabknot.record;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Encodes the claims of one bucket as text: one claim per line, with its fields separated
 * by spaces and the numbers in base 36.
 */
public final class ClaimCodec {

	private static final int RADIX = 36;

	private static final int FIELD_COUNT = 5;

	private ClaimCodec() {
	}

	/**
	 * Encodes claims.
	 * @param claims the claims
	 * @return the value for the store
	 */
	public static byte[] encode(Collection<Claim> claims) {
		StringBuilder text = new StringBuilder();
		for (Claim claim : claims) {
			text.append(claim.key())
				.append(' ')
				.append(claim.instance())
				.append(' ')
				.append(Long.toUnsignedString(claim.incarnation(), RADIX))
				.append(' ')
				.append(Long.toUnsignedString(claim.sequence(), RADIX))
				.append(' ')
				.append(Long.toUnsignedString(claim.startSeconds(), RADIX))
				.append('\n');
		}
		return text.toString().getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Decodes claims.
	 * @param value a value from the store
	 * @return the claims
	 * @throws IllegalArgumentException if the value is not in the format of
	 * {@link #encode}
	 */
	public static List<Claim> decode(byte[] value) {
		List<Claim> claims = new ArrayList<>();
		for (String line : new String(value, StandardCharsets.UTF_8).split("\n")) {
			if (line.isEmpty()) {
				continue;
			}
			String[] fields = line.split(" ");
			if (fields.length != FIELD_COUNT) {
				throw new IllegalArgumentException("expected 5 fields in a claim, got " + fields.length);
			}
			claims.add(new Claim(Hash128.parse(fields[0]), fields[1], Long.parseUnsignedLong(fields[2], RADIX),
					Long.parseUnsignedLong(fields[3], RADIX), Long.parseUnsignedLong(fields[4], RADIX)));
		}
		return claims;
	}

}
