package org.baobabknot.record;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * 128-bit identifier of a request, an idempotency key or the content of a request.
 *
 * @param high the first 8 bytes
 * @param low the last 8 bytes
 */
public record Hash128(long high, long low) {

	/**
	 * Length in bytes.
	 */
	public static final int BYTES = 16;

	private static final int HEX_DIGITS = 32;

	/**
	 * Creates a value from the first 16 bytes of an array.
	 * @param bytes at least 16 bytes
	 * @return the value
	 */
	public static Hash128 of(byte[] bytes) {
		if (bytes.length < BYTES) {
			throw new IllegalArgumentException("expected at least 16 bytes, got " + bytes.length);
		}
		ByteBuffer buffer = ByteBuffer.wrap(bytes);
		return new Hash128(buffer.getLong(), buffer.getLong());
	}

	/**
	 * Returns the first 128 bits of the SHA-256 over the parts. The length of each part
	 * is hashed too, so that different lists of parts never give the same input. The hash
	 * is cryptographic because callers choose the keys.
	 * @param parts the texts to hash
	 * @return the value
	 */
	public static Hash128 digest(String... parts) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			for (String part : parts) {
				byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
				digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
				digest.update(bytes);
			}
			return of(digest.digest());
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is missing", ex);
		}
	}

	/**
	 * Parses the format of {@link #toString}.
	 * @param hex 32 hexadecimal digits
	 * @return the value
	 */
	public static Hash128 parse(String hex) {
		if (hex.length() != HEX_DIGITS) {
			throw new IllegalArgumentException("expected 32 hexadecimal digits, got " + hex);
		}
		return of(HexFormat.of().parseHex(hex));
	}

	/**
	 * Returns the bucket to which this value belongs.
	 * @param buckets number of buckets
	 * @return a number from 0 to {@code buckets - 1}
	 */
	public int bucket(int buckets) {
		return (int) Long.remainderUnsigned(this.high, buckets);
	}

	/**
	 * Returns the 16 bytes.
	 * @return a new array
	 */
	public byte[] toBytes() {
		return ByteBuffer.allocate(BYTES).putLong(this.high).putLong(this.low).array();
	}

	@Override
	public String toString() {
		return HexFormat.of().formatHex(toBytes());
	}

}
