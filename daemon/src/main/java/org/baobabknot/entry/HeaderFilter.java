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
 * Removes headers that belong to one connection (RFC 9110, section 7.6.1).
 */
final class HeaderFilter {

	private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "expect");

	private HeaderFilter() {
	}

	static void copy(HttpHeaders from, RequestStart.Builder to) {
		Set<String> named = named(from.getAll(HttpHeaderNames.CONNECTION));
		for (Map.Entry<String, String> header : from) {
			if (passes(header.getKey(), named)) {
				to.addHeaders(Header.newBuilder().setName(header.getKey()).setValue(header.getValue()));
			}
		}
	}

	static void copy(List<Header> from, HttpHeaders to) {
		for (Header header : from) {
			if (passes(header.getName(), Set.of())) {
				to.add(header.getName(), header.getValue());
			}
		}
	}

	private static boolean passes(String name, Set<String> named) {
		String lower = name.toLowerCase(Locale.ROOT);
		return !HOP_BY_HOP.contains(lower) && !named.contains(lower);
	}

	private static Set<String> named(List<String> values) {
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
