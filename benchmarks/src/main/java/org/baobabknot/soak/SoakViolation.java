package org.baobabknot.soak;

import org.jspecify.annotations.Nullable;

/**
 * A rule that was broken.
 *
 * @param text what was seen
 * @param request the request that it concerns, if any
 */
record SoakViolation(String text, @Nullable SoakRequest request) {

	private static final int MAX_LENGTH = 300;

	SoakViolation(String text) {
		this(text, null);
	}

	static String shorten(String text) {
		String line = text.replace("\n", "\\n");
		return (line.length() <= MAX_LENGTH) ? line
				: line.substring(0, MAX_LENGTH) + "... (" + text.length() + " bytes)";
	}

}
