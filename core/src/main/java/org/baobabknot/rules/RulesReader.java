package org.baobabknot.rules;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Parser of the rule language. Reports all errors of a text at once and accepts only a
 * text without errors. Stateless.
 */
public final class RulesReader {

	/**
	 * Maximum number of errors reported for one text. More would hide the first ones on a
	 * terminal.
	 */
	private static final int MAX_REPORTED_ERRORS = 50;

	private static final Comparator<RuleError> BY_POSITION = Comparator.comparingInt(RuleError::line)
		.thenComparingInt(RuleError::column);

	/**
	 * Parses a text without checking names against the fleet.
	 * @param text the rules
	 * @return the rules or the errors
	 */
	public RulesResult read(String text) {
		return read(text, KnownNames.none());
	}

	/**
	 * Parses a text and checks its names.
	 * @param text the rules
	 * @param knownNames names of the fleet
	 * @return the rules or the errors
	 */
	public RulesResult read(String text, KnownNames knownNames) {
		List<RuleError> errors = new ArrayList<>();
		Map<String, Rule> bySubject = new HashMap<>();
		List<Rule> rules = new ArrayList<>();
		String[] lines = text.split("\\r?\\n|\\r", -1);
		for (int at = 0; at < lines.length; at++) {
			readLine(lines[at], at + 1, knownNames, errors).ifPresent((rule) -> {
				Rule earlier = bySubject.putIfAbsent(rule.subject(), rule);
				if (earlier != null) {
					errors.add(duplicateSubject(earlier, rule));
				}
				rules.add(rule);
			});
		}
		if (errors.isEmpty()) {
			return new RulesResult.Accepted(new RuleSet(rules));
		}
		errors.sort(BY_POSITION);
		return new RulesResult.Rejected(errors.subList(0, Math.min(MAX_REPORTED_ERRORS, errors.size())));
	}

	private static Optional<Rule> readLine(String line, int number, KnownNames knownNames, List<RuleError> errors) {
		int commentStart = line.indexOf('#');
		List<Token> tokens = Token.split((commentStart >= 0) ? line.substring(0, commentStart) : line, number);
		if (tokens.isEmpty()) {
			return Optional.empty();
		}
		String comment = (commentStart >= 0) ? line.substring(commentStart + 1).strip() : "";
		if (comment.isEmpty()) {
			errors.add(new RuleError(number, line.stripTrailing().length() + 1, "the rule has no comment",
					"\"# who asked: why\"", Optional.empty()));
		}
		RuleLine content = new RuleLine(tokens, comment, knownNames, errors);
		return RuleVerb.of(tokens.get(0).text()).map((verb) -> verb.read(content)).orElseGet(() -> {
			errors.add(unknownVerb(tokens.get(0)));
			return Optional.empty();
		});
	}

	private static RuleError unknownVerb(Token token) {
		return token.error("unknown verb \"%s\"".formatted(token.text()), "one of " + String.join(", ", RuleVerb.NAMES),
				KnownNames.nearest(token.text(), RuleVerb.NAMES));
	}

	private static RuleError duplicateSubject(Rule earlier, Rule rule) {
		boolean same = earlier.text().equals(rule.text());
		String problem = same ? "\"%s\" repeats line %d" : "\"%s\" contradicts line %d";
		return new RuleError(rule.line(), 1, problem.formatted(rule.subject(), earlier.line()),
				"one rule for each subject", Optional.empty());
	}

}
