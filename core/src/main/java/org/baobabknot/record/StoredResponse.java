package org.baobabknot.record;

import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Answer of the target to a non-idempotent request, kept for repeats of the request.
 *
 * @param status HTTP status
 * @param headers headers of the answer in order
 * @param version version of the model that answered, empty for a plain service
 * @param digest digest of the model that answered, empty for a plain service
 * @param body the whole body, or nothing when it was too large to keep
 */
public record StoredResponse(int status, List<Map.Entry<String, String>> headers, String version, String digest,
		byte @Nullable [] body) {

	/**
	 * Returns whether the answer can be replayed.
	 * @return whether the body was kept
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
