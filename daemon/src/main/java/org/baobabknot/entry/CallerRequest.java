package org.baobabknot.entry;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.HttpHeaders;
import org.baobabknot.protocol.generated.Priority;

/**
 * Validated head of a request.
 *
 * @param id 16 bytes that identify the request in all attempts
 * @param idHex the id in hexadecimal digits
 * @param service name of the requested service
 * @param workspace workspace of the caller
 * @param method HTTP method
 * @param path path at the target, with the query
 * @param headers headers as received
 * @param deadlineNanos monotonic time of the deadline
 * @param priority priority, at most the ceiling of the workspace
 * @param idempotent whether the request may run more than once
 * @param idempotencyKey the caller's idempotency key, empty if it sent none
 * @param hasBody whether a body follows
 */
record CallerRequest(ByteString id, String idHex, String service, String workspace, String method, String path,
		HttpHeaders headers, long deadlineNanos, Priority priority, boolean idempotent, String idempotencyKey,
		boolean hasBody) {

	/**
	 * Tells whether repetitions of the request are detected by its key, so that it is
	 * sent to the home agent of the key.
	 * @return true for a non-idempotent request with a key
	 */
	boolean claimsKey() {
		return !this.idempotent && !this.idempotencyKey.isEmpty();
	}

}
