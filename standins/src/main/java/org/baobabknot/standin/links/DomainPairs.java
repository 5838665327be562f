package org.baobabknot.standin.links;

/**
 * Matches unordered pairs of failure domains, with {@code *} for any failure domain.
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
