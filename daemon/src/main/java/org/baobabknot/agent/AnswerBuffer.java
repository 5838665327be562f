package org.baobabknot.agent;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Map;

import com.google.protobuf.ByteString;
import org.baobabknot.record.StoredResponse;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the answer to a non-idempotent request for its record while it passes through. A
 * body above the bound is not kept.
 */
final class AnswerBuffer {

	/**
	 * Equal to the largest body that the record keeps.
	 */
	private static final int MAX_BYTES = 64 * 1024;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private boolean tooLarge;

	private int status;

	private List<Map.Entry<String, String>> headers = List.of();

	private String version = "";

	private String digest = "";

	void start(int answerStatus, List<Map.Entry<String, String>> answerHeaders, String modelVersion,
			String modelDigest) {
		this.status = answerStatus;
		this.headers = answerHeaders;
		this.version = modelVersion;
		this.digest = modelDigest;
	}

	void part(ByteString part) {
		if (this.tooLarge || this.body.size() + part.size() > MAX_BYTES) {
			this.tooLarge = true;
			this.body.reset();
			return;
		}
		this.body.writeBytes(part.toByteArray());
	}

	StoredResponse result() {
		byte @Nullable [] kept = this.tooLarge ? null : this.body.toByteArray();
		return new StoredResponse(this.status, this.headers, this.version, this.digest, kept);
	}

}
