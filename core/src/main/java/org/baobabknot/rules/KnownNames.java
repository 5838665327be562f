package org.baobabknot.rules;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;

/**
 * Names against which the names in a rule text are checked. An empty set disables the
 * check of its kind, because a process may read rules before it has received the lists of
 * the fleet.
 *
 * @param services services of the fleet
 * @param workspaces workspaces of the rules in force, used for hints only
 * @param domains failure domains of the fleet
 */
public record KnownNames(Set<String> services, Set<String> workspaces, Set<String> domains) {

	/**
	 * Letters of a name for each edit that a suggestion may differ by, but at least two
	 * edits are allowed. Names that differ in more than a third of their letters are not
	 * similar.
	 */
	private static final int LETTERS_PER_EDIT = 3;

	public KnownNames {
		services = Set.copyOf(services);
		workspaces = Set.copyOf(workspaces);
		domains = Set.copyOf(domains);
	}

	/**
	 * Returns no names, which disables all checks of names.
	 * @return the empty names
	 */
	public static KnownNames none() {
		return new KnownNames(Set.of(), Set.of(), Set.of());
	}

	/**
	 * Finds the candidate with the smallest edit distance to a name.
	 * @param name the unknown name
	 * @param candidates known names
	 * @return the nearest candidate, or nothing if none is similar
	 */
	public static Optional<String> nearest(String name, Collection<String> candidates) {
		String bestCandidate = null;
		int bestDistance = Math.max(2, name.length() / LETTERS_PER_EDIT) + 1;
		for (String candidate : candidates.stream().sorted().toList()) {
			int distance = editDistance(name, candidate);
			if (distance < bestDistance) {
				bestCandidate = candidate;
				bestDistance = distance;
			}
		}
		return Optional.ofNullable(bestCandidate);
	}

	/**
	 * Returns the edit distance of two names. Insertions, deletions, replacements and
	 * swaps of adjacent letters count one each.
	 */
	static int editDistance(String left, String right) {
		int[][] table = new int[left.length() + 1][right.length() + 1];
		for (int i = 0; i <= left.length(); i++) {
			for (int j = 0; j <= right.length(); j++) {
				table[i][j] = (i == 0 || j == 0) ? i + j : cellDistance(table, left, right, i, j);
			}
		}
		return table[left.length()][right.length()];
	}

	private static int cellDistance(int[][] table, String left, String right, int i, int j) {
		int replaced = table[i - 1][j - 1] + ((left.charAt(i - 1) != right.charAt(j - 1)) ? 1 : 0);
		int best = Math.min(replaced, Math.min(table[i - 1][j], table[i][j - 1]) + 1);
		boolean swapped = i > 1 && j > 1 && left.charAt(i - 1) == right.charAt(j - 2)
				&& left.charAt(i - 2) == right.charAt(j - 1);
		return swapped ? Math.min(best, table[i - 2][j - 2] + 1) : best;
	}

}
