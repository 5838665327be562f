package org.baobabknot.rules;

import java.util.Optional;

/**
 * An error in the text of the rules.
 *
 * @param line line, from 1
 * @param column column, from 1
 * @param problem description of the error
 * @param expected what is expected at this position
 * @param nearest known name nearest to the unknown one, as a suggestion
 */
public record RuleError(int line, int column, String problem, String expected, Optional<String> nearest) {

	/**
	 * Formats the error for an operator.
	 * @return one line of text
	 */
	public String message() {
		String hint = this.nearest.map((name) -> "; did you mean \"" + name + "\"?").orElse("");
		return "line %d, column %d: %s; expected %s%s".formatted(this.line, this.column, this.problem, this.expected,
				hint);
	}

}
