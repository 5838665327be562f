package org.baobabknot.standin.links;

/**
 * Pairs of failure domains without order, with {@code *} for any.
 */
final class Pairs {

	private Pairs() {
	}

	static boolean match(String from, String to, String one, String other) {
		return (matches(from, one) && matches(to, other)) || (matches(from, other) && matches(to, one));
	}

	private static boolean matches(String pattern, String name) {
		return pattern.equals("*") || pattern.equals(name);
	}

}
