package org.baobabknot.load;

import java.nio.charset.StandardCharsets;

import io.netty.handler.codec.http.HttpHeaders;
import org.jspecify.annotations.Nullable;

/**
 * Response to a request, or the part of it received before a failure.
 *
 * @param status the HTTP status, 0 when no response head was received
 * @param headers the response headers
 * @param body the bytes received
 * @param complete whether the response ended as HTTP requires
 * @param connected whether a connection existed; the request was not sent without one
 * @param firstByteNanos monotonic time of the first body byte, 0 without one
 * @param endNanos monotonic time of the end or failure
 * @param bodyParts number of body parts received separately
 * @param failure why the response is not complete, null when it is
 */
public record LoadResponse(int status, HttpHeaders headers, byte[] body, boolean complete, boolean connected,
		long firstByteNanos, long endNanos, int bodyParts, @Nullable String failure) {

	/**
	 * Returns the body as text.
	 * @return the body, decoded as UTF-8
	 */
	public String text() {
		return new String(this.body, StandardCharsets.UTF_8);
	}

	/**
	 * Returns a header.
	 * @param name the name, in any case
	 * @return the value, or an empty string
	 */
	public String header(String name) {
		String value = this.headers.get(name);
		return (value != null) ? value : "";
	}

}
