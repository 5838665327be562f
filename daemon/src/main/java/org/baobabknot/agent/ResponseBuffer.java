package org.baobabknot.agent;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Map;

import com.google.protobuf.ByteString;
import org.baobabknot.record.StoredResponse;
import org.jspecify.annotations.Nullable;

/**
 * Buffers the response to a non-idempotent request for its record while the response is
 * passed on. A body above the size limit is not stored.
 */
final class ResponseBuffer {

	/**
	 * Must equal the largest body that the record stores.
	 */
	private static final int MAX_BODY_BYTES = 64 * 1024;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private boolean tooLarge;

	private int status;

	private List<Map.Entry<String, String>> headers = List.of();

	private String version = "";

	private String digest = "";

	void start(int responseStatus, List<Map.Entry<String, String>> responseHeaders, String modelVersion,
			String modelDigest) {
		this.status = responseStatus;
		this.headers = responseHeaders;
		this.version = modelVersion;
		this.digest = modelDigest;
	}

	void addPart(ByteString part) {
		if (this.tooLarge || this.body.size() + part.size() > MAX_BODY_BYTES) {
			this.tooLarge = true;
			this.body.reset();
			return;
		}
		this.body.writeBytes(part.toByteArray());
	}

	StoredResponse result() {
		byte @Nullable [] storedBody = this.tooLarge ? null : this.body.toByteArray();
		return new StoredResponse(this.status, this.headers, this.version, this.digest, storedBody);
	}

}
