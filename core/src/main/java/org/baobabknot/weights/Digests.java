package org.baobabknot.weights;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Pattern;

/**
 * SHA-256 digests in lower-case hexadecimal form.
 */
public final class Digests {

	private static final Pattern HEX = Pattern.compile("[0-9a-f]{64}");

	private Digests() {
	}

	/**
	 * Creates an empty SHA-256 computation.
	 * @return the computation
	 */
	public static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is missing from this Java runtime", ex);
		}
	}

	/**
	 * Returns the digest of bytes.
	 * @param bytes the bytes
	 * @return 64 lower-case hexadecimal digits
	 */
	public static String of(byte[] bytes) {
		return hex(sha256().digest(bytes));
	}

	/**
	 * Returns the digest of a text in UTF-8.
	 * @param text the text
	 * @return 64 lower-case hexadecimal digits
	 */
	public static String of(String text) {
		return of(text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Formats digest bytes.
	 * @param digest the digest
	 * @return lower-case hexadecimal digits
	 */
	public static String hex(byte[] digest) {
		return HexFormat.of().formatHex(digest);
	}

	/**
	 * Returns whether a text has the form of a digest.
	 * @param text the text
	 * @return true for 64 lower-case hexadecimal digits
	 */
	public static boolean isValid(String text) {
		return HEX.matcher(text).matches();
	}

}
