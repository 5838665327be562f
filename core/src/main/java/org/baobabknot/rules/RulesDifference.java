package org.baobabknot.rules;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Difference between two rule sets, without comments and the order of lines.
 *
 * @param added rules whose subject is only in the later set
 * @param removed rules whose subject is only in the earlier set
 * @param changed rules with the same subject and different content
 */
public record RulesDifference(List<Rule> added, List<Rule> removed, List<Change> changed) {

	public RulesDifference {
		added = List.copyOf(added);
		removed = List.copyOf(removed);
		changed = List.copyOf(changed);
	}

	/**
	 * Compares two sets.
	 * @param before the earlier set
	 * @param after the later set
	 * @return the difference
	 */
	public static RulesDifference between(RuleSet before, RuleSet after) {
		Map<String, Rule> earlier = new LinkedHashMap<>();
		before.rules().forEach((rule) -> earlier.put(rule.subject(), rule));
		List<Rule> added = new ArrayList<>();
		List<Change> changed = new ArrayList<>();
		for (Rule rule : after.rules()) {
			Rule previous = earlier.remove(rule.subject());
			if (previous == null) {
				added.add(rule);
			}
			else if (!previous.text().equals(rule.text())) {
				changed.add(new Change(previous, rule));
			}
		}
		return new RulesDifference(added, List.copyOf(earlier.values()), changed);
	}

	/**
	 * Returns whether there is no difference.
	 * @return true if both sets have the same effect
	 */
	public boolean isEmpty() {
		return this.added.isEmpty() && this.removed.isEmpty() && this.changed.isEmpty();
	}

	/**
	 * Formats the difference for an operator, one line per rule.
	 * @return lines that start with a plus or a minus sign
	 */
	public List<String> lines() {
		List<String> lines = new ArrayList<>();
		this.removed.forEach((rule) -> lines.add("- " + rule.text()));
		for (Change change : this.changed) {
			lines.add("- " + change.before().text());
			lines.add("+ " + change.after().text());
		}
		this.added.forEach((rule) -> lines.add("+ " + rule.text()));
		return lines;
	}

	/**
	 * A changed rule.
	 *
	 * @param before the earlier content
	 * @param after the later content
	 */
	public record Change(Rule before, Rule after) {
	}

}
