package org.baobabknot.record;

import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Response of the target to a non-idempotent request, stored to be returned when the
 * request is repeated.
 *
 * @param status HTTP status
 * @param headers headers of the response, in order
 * @param version version of the model that gave the response, empty for a service without
 * a model
 * @param digest digest of the model that gave the response, empty for a service without a
 * model
 * @param body the complete body, or null when it was too large to store or was dropped to
 * make room for newer ones
 */
public record StoredResponse(int status, List<Map.Entry<String, String>> headers, String version, String digest,
		byte @Nullable [] body) {

	/**
	 * Returns whether the response can be replayed.
	 * @return whether the body is stored
	 */
	public boolean replayable() {
		return this.body != null;
	}

	int bodyBytes() {
		return (this.body != null) ? this.body.length : 0;
	}

	StoredResponse withoutBody() {
		return new StoredResponse(this.status, this.headers, this.version, this.digest, null);
	}

}
