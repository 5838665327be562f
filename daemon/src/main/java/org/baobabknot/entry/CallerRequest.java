package org.baobabknot.entry;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.HttpHeaders;
import org.baobabknot.protocol.generated.Priority;

/**
 * Head of a request that was found valid.
 *
 * @param id 16 bytes that identify the request over all attempts
 * @param idHex the id in hexadecimal digits
 * @param service service it is for
 * @param workspace workspace of the caller
 * @param method HTTP method
 * @param path path at the target, with the query
 * @param headers headers as received
 * @param deadlineNanos monotonic time of the deadline
 * @param priority priority, at most the ceiling of the workspace
 * @param idempotent whether it may run more than once
 * @param idempotencyKey the caller's idempotency key, empty without one
 * @param hasBody whether a body follows
 */
record CallerRequest(ByteString id, String idHex, String service, String workspace, String method, String path,
		HttpHeaders headers, long deadlineNanos, Priority priority, boolean idempotent, String idempotencyKey,
		boolean hasBody) {

	/**
	 * Whether a repetition is recognised by its key, so that the request goes to the home
	 * agent of the key.
	 * @return true for a non-idempotent request with a key
	 */
	boolean claimsKey() {
		return !this.idempotent && !this.idempotencyKey.isEmpty();
	}

}
