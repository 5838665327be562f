package org.baobabknot.rules;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Normalization of request paths.
 */
final class RequestPaths {

	private static final int HEX = 16;

	private RequestPaths() {
	}

	// Drops the query, decodes percent escapes, merges slashes and resolves dot segments.
	static String normalize(String path) {
		int query = path.indexOf('?');
		String decoded = decode((query >= 0) ? path.substring(0, query) : path);
		Deque<String> segments = new ArrayDeque<>();
		for (String segment : decoded.split("/")) {
			if (segment.equals("..")) {
				segments.pollLast();
			}
			else if (!segment.isEmpty() && !segment.equals(".")) {
				segments.addLast(segment);
			}
		}
		String joined = "/" + String.join("/", segments);
		return (decoded.endsWith("/") && joined.length() > 1) ? joined + "/" : joined;
	}

	private static String decode(String path) {
		if (path.indexOf('%') < 0) {
			return path;
		}
		ByteArrayOutputStream bytes = new ByteArrayOutputStream(path.length());
		byte[] raw = path.getBytes(StandardCharsets.UTF_8);
		for (int at = 0; at < raw.length; at++) {
			int high = (raw[at] == '%' && at + 2 < raw.length) ? Character.digit(raw[at + 1], HEX) : -1;
			int low = (high >= 0) ? Character.digit(raw[at + 2], HEX) : -1;
			if (low >= 0) {
				bytes.write(high * HEX + low);
				at += 2;
			}
			else {
				bytes.write(raw[at]);
			}
		}
		return bytes.toString(StandardCharsets.UTF_8);
	}

}
