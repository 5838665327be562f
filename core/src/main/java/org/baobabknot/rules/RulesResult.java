package org.baobabknot.rules;

import java.util.List;

/**
 * Result of reading rules.
 */
public sealed interface RulesResult {

	/**
	 * The text is valid.
	 *
	 * @param rules the rules
	 */
	record Accepted(RuleSet rules) implements RulesResult {
	}

	/**
	 * The text has faults; nothing of it is used.
	 *
	 * @param errors the faults in order of line and column
	 */
	record Rejected(List<RuleError> errors) implements RulesResult {

		public Rejected {
			errors = List.copyOf(errors);
		}

	}

}
