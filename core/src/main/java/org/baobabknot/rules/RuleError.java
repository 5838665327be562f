package org.baobabknot.rules;

import java.util.Optional;

/**
 * A fault in the text of the rules.
 *
 * @param line line, from 1
 * @param column column, from 1
 * @param problem what is wrong
 * @param expected what is expected at this place
 * @param nearest known name most like the one found
 */
public record RuleError(int line, int column, String problem, String expected, Optional<String> nearest) {

	/**
	 * Returns the error for an operator.
	 * @return one line of text
	 */
	public String message() {
		String hint = this.nearest.map((name) -> "; did you mean \"" + name + "\"?").orElse("");
		return "line %d, column %d: %s; expected %s%s".formatted(this.line, this.column, this.problem, this.expected,
				hint);
	}

}
