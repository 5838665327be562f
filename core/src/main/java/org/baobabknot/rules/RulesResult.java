package org.baobabknot.rules;

import java.util.List;

/**
 * Result of parsing the text of the rules.
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
	 * The text has errors, and none of its rules is used.
	 *
	 * @param errors the errors in order of line and column
	 */
	record Rejected(List<RuleError> errors) implements RulesResult {

		public Rejected {
			errors = List.copyOf(errors);
		}

	}

}
