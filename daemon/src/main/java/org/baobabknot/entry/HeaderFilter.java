package org.baobabknot.entry;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.baobabknot.protocol.generated.Header;
import org.baobabknot.protocol.generated.RequestStart;

/**
 * Copies headers except those that apply to one connection only (RFC 9110, section
 * 7.6.1).
 */
final class HeaderFilter {

	private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "expect");

	private HeaderFilter() {
	}

	static void copy(HttpHeaders from, RequestStart.Builder to) {
		Set<String> connectionNames = connectionNames(from.getAll(HttpHeaderNames.CONNECTION));
		for (Map.Entry<String, String> header : from) {
			if (isEndToEnd(header.getKey(), connectionNames)) {
				to.addHeaders(Header.newBuilder().setName(header.getKey()).setValue(header.getValue()));
			}
		}
	}

	static void copy(List<Header> from, HttpHeaders to) {
		for (Header header : from) {
			if (isEndToEnd(header.getName(), Set.of())) {
				to.add(header.getName(), header.getValue());
			}
		}
	}

	private static boolean isEndToEnd(String name, Set<String> connectionNames) {
		String lower = name.toLowerCase(Locale.ROOT);
		return !HOP_BY_HOP.contains(lower) && !connectionNames.contains(lower);
	}

	private static Set<String> connectionNames(List<String> values) {
		if (values.isEmpty()) {
			return Set.of();
		}
		Set<String> names = new HashSet<>();
		for (String value : values) {
			for (String name : value.split(",")) {
				names.add(name.strip().toLowerCase(Locale.ROOT));
			}
		}
		return names;
	}

}
