package org.baobabknot.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import org.baobabknot.httpclient.HttpHeader;
import org.baobabknot.protocol.generated.Header;

/**
 * Filters the headers that are passed to the target and back.
 */
final class TargetHeaders {

	private static final Set<String> DROPPED_REQUEST_HEADERS = Set.of("host", "connection", "content-length",
			"transfer-encoding", "x-expected-incarnation", "x-request-id");

	/**
	 * The version and the digest are sent in their own message fields.
	 */
	private static final Set<String> DROPPED_RESPONSE_HEADERS = Set.of("connection", "keep-alive", "transfer-encoding",
			"x-model-version", "x-model-digest", "x-engine-incarnation");

	private TargetHeaders() {
	}

	static List<HttpHeader> requestHeaders(List<Header> headers, String requestId) {
		List<HttpHeader> forwarded = new ArrayList<>();
		for (Header header : headers) {
			if (!DROPPED_REQUEST_HEADERS.contains(header.getName().toLowerCase(Locale.ROOT))) {
				forwarded.add(new HttpHeader(header.getName(), header.getValue()));
			}
		}
		forwarded.add(new HttpHeader("X-Request-Id", requestId));
		return forwarded;
	}

	static List<Map.Entry<String, String>> responseHeaders(List<HttpHeader> headers) {
		List<Map.Entry<String, String>> forwarded = new ArrayList<>();
		for (HttpHeader header : headers) {
			if (!DROPPED_RESPONSE_HEADERS.contains(header.name().toLowerCase(Locale.ROOT))) {
				forwarded.add(Map.entry(header.name(), header.value()));
			}
		}
		return forwarded;
	}

	/**
	 * Returns the length of the body according to the {@code Content-Length} header.
	 * @param headers headers of the request
	 * @return the length in bytes, or -1 without a valid header
	 */
	static long contentLength(List<Header> headers) {
		for (Header header : headers) {
			if (header.getName().equalsIgnoreCase("content-length")) {
				try {
					return Math.max(-1, Long.parseLong(header.getValue().strip()));
				}
				catch (NumberFormatException ex) {
					return -1;
				}
			}
		}
		return -1;
	}

}
