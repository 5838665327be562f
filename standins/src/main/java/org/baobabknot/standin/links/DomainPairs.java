package org.baobabknot.standin.links;

/**
 * Pairs of failure domains without order, with {@code *} for any.
 */
final class DomainPairs {

	private DomainPairs() {
	}

	static boolean matchesInAnyOrder(String from, String to, String domain, String otherDomain) {
		return (matches(from, domain) && matches(to, otherDomain))
				|| (matches(from, otherDomain) && matches(to, domain));
	}

	private static boolean matches(String pattern, String name) {
		return pattern.equals("*") || pattern.equals(name);
	}

}
