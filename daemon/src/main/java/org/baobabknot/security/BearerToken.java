package org.baobabknot.security;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Bearer token of operators. Only its digest is stored, and digests are compared in
 * constant time, so that the time of a comparison reveals neither the token nor its
 * length.
 */
public final class BearerToken {

	private static final int MIN_TOKEN_LENGTH = 16;

	private final byte[] digest;

	private BearerToken(String token) {
		this.digest = digest(token);
	}

	/**
	 * Reads the token from a file and strips surrounding white space.
	 * @param file the token file
	 * @return the token
	 * @throws IOException if the file cannot be read or the token has fewer than 16
	 * characters
	 */
	public static BearerToken read(Path file) throws IOException {
		String token = Files.readString(file).strip();
		if (token.length() < MIN_TOKEN_LENGTH) {
			throw new IOException(file + " holds a token of " + token.length() + " characters, expected at least "
					+ MIN_TOKEN_LENGTH);
		}
		return new BearerToken(token);
	}

	/**
	 * Compares a token with this token in constant time.
	 * @param candidate token sent by a peer
	 * @return true if the tokens are equal
	 */
	public boolean matches(String candidate) {
		return MessageDigest.isEqual(this.digest, digest(candidate));
	}

	private static byte[] digest(String token) {
		try {
			return MessageDigest.getInstance("SHA-256").digest(token.getBytes(StandardCharsets.UTF_8));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not available", ex);
		}
	}

}
