package org.baobabknot.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import org.baobabknot.httpclient.HttpHeader;
import org.baobabknot.protocol.generated.Header;

/**
 * Headers on their way to the target and back.
 */
final class Headers {

	private static final Set<String> NOT_TO_TARGET = Set.of("host", "connection", "content-length", "transfer-encoding",
			"x-expected-incarnation", "x-request-id");

	/**
	 * The version and digest travel in fields of their own.
	 */
	private static final Set<String> NOT_FROM_TARGET = Set.of("connection", "keep-alive", "transfer-encoding",
			"x-model-version", "x-model-digest", "x-engine-incarnation");

	private Headers() {
	}

	static List<HttpHeader> toTarget(List<Header> headers, String requestId) {
		List<HttpHeader> passed = new ArrayList<>();
		for (Header header : headers) {
			if (!NOT_TO_TARGET.contains(header.getName().toLowerCase(Locale.ROOT))) {
				passed.add(new HttpHeader(header.getName(), header.getValue()));
			}
		}
		passed.add(new HttpHeader("X-Request-Id", requestId));
		return passed;
	}

	static List<Map.Entry<String, String>> fromTarget(List<HttpHeader> headers) {
		List<Map.Entry<String, String>> passed = new ArrayList<>();
		for (HttpHeader header : headers) {
			if (!NOT_FROM_TARGET.contains(header.name().toLowerCase(Locale.ROOT))) {
				passed.add(Map.entry(header.name(), header.value()));
			}
		}
		return passed;
	}

	/**
	 * Returns the announced length of a body.
	 * @param headers headers of the request
	 * @return the length, or -1 when none is announced
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
