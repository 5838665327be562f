package org.baobabknot.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;

import com.google.protobuf.ByteString;

/**
 * Computes a SHA-256 digest of method, path and body, which distinguishes a repeated
 * request from another request with the same idempotency key.
 */
final class Fingerprint {

	private Fingerprint() {
	}

	static ByteString of(String method, String path, List<ByteString> body) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			digest.update((method + " " + path + "\n").getBytes(StandardCharsets.UTF_8));
			body.forEach((part) -> digest.update(part.asReadOnlyByteBuffer()));
			return ByteString.copyFrom(digest.digest());
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not available", ex);
		}
	}

}
