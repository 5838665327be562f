package org.baobabknot.rules;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.regex.Pattern;

import org.baobabknot.weights.Digests;
import org.jspecify.annotations.Nullable;

/**
 * Parses the words of one rule in order and collects its errors.
 */
final class RuleLine {

	/** Maximum length of a name. Names become parts of keys, headers and file names. */
	private static final int MAX_NAME_LENGTH = 64;

	/** Maximum value of an option. Larger values are typing errors. */
	private static final int MAX_NUMBER = 10_000;

	private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

	private static final Pattern METHOD = Pattern.compile("[A-Z]+|\\*");

	private static final String DIGEST_PREFIX = "sha256:";

	private final List<Token> words = new ArrayList<>();

	private final Map<String, Token> options = new HashMap<>();

	private final List<String> allowedOptions = new ArrayList<>();

	private final Token verb;

	private final String comment;

	private final KnownNames knownNames;

	private final List<RuleError> errors;

	private final int initialErrors;

	private int nextWord;

	private boolean endedEarly;

	RuleLine(List<Token> tokens, String comment, KnownNames knownNames, List<RuleError> errors) {
		this.verb = tokens.get(0);
		this.comment = comment;
		this.knownNames = knownNames;
		this.errors = errors;
		this.initialErrors = errors.size();
		for (Token token : tokens.subList(1, tokens.size())) {
			int equals = token.text().startsWith("/") ? -1 : token.text().indexOf('=');
			if (equals < 0) {
				this.words.add(token);
			}
			else if (this.options.putIfAbsent(token.text().substring(0, equals), token) != null) {
				errors.add(token.error("option \"%s\" is repeated".formatted(token.text().substring(0, equals)),
						"each option once"));
			}
		}
	}

	int number() {
		return this.verb.line();
	}

	String comment() {
		return this.comment;
	}

	private @Nullable Token word(String expected) {
		if (this.nextWord < this.words.size()) {
			return this.words.get(this.nextWord++);
		}
		if (this.endedEarly) {
			return null;
		}
		this.endedEarly = true;
		Token last = this.words.isEmpty() ? this.verb : this.words.get(this.words.size() - 1);
		this.errors.add(new RuleError(last.line(), last.column() + last.text().length() + 1, "the rule ends early",
				expected, Optional.empty()));
		return null;
	}

	String name(String expected) {
		Token token = word(expected);
		return (token != null) ? checkName(token, expected, Set.of()) : "";
	}

	String workspace() {
		Token token = word("the name of a workspace");
		return (token != null) ? checkName(token, "the name of a workspace", this.knownNames.workspaces()) : "";
	}

	String service(String expected) {
		Token token = word(expected);
		return (token != null) ? checkKnown(token, expected, "service", this.knownNames.services()) : "";
	}

	String domain() {
		String expected = "the name of a failure domain";
		Token token = word(expected);
		return (token != null) ? checkKnown(token, expected, "failure domain", this.knownNames.domains()) : "";
	}

	List<String> services() {
		String expected = "the names of services, separated by commas without blanks";
		Token token = word(expected);
		List<String> services = new ArrayList<>();
		int start = 0;
		while (token != null && start <= token.text().length()) {
			int comma = token.text().indexOf(',', start);
			int end = (comma >= 0) ? comma : token.text().length();
			Token part = new Token(token.text().substring(start, end), token.line(), token.column() + start);
			String service = checkKnown(part, expected, "service", this.knownNames.services());
			if (services.contains(service)) {
				this.errors.add(part.error("service \"%s\" is repeated".formatted(service), "each service once"));
			}
			services.add(service);
			start = end + 1;
		}
		return services;
	}

	String digest() {
		String expected = "\"sha256:\" and 64 lower-case hexadecimal digits";
		Token token = word(expected);
		if (token == null) {
			return "";
		}
		String text = token.text();
		if (!text.startsWith(DIGEST_PREFIX) || !Digests.isValid(text.substring(DIGEST_PREFIX.length()))) {
			this.errors.add(token.error("\"%s\" is not a digest".formatted(shorten(text)), expected));
			return "";
		}
		return text.substring(DIGEST_PREFIX.length());
	}

	String choice(List<String> choices) {
		String expected = "one of " + String.join(", ", choices);
		Token token = word(expected);
		if (token == null) {
			return "";
		}
		if (!choices.contains(token.text())) {
			reportUnknown(token, "word", expected, choices);
		}
		return token.text();
	}

	String method() {
		String expected = "an HTTP method in capital letters, or * for all";
		Token token = word(expected);
		if (token != null && !METHOD.matcher(token.text()).matches()) {
			this.errors.add(token.error("\"%s\" is not a method".formatted(shorten(token.text())), expected));
		}
		return (token != null) ? token.text() : "";
	}

	String path() {
		String expected = "the start of a path, with a leading slash";
		Token token = word(expected);
		if (token != null && !token.text().startsWith("/")) {
			this.errors.add(token.error("\"%s\" is not a path".formatted(shorten(token.text())), expected));
		}
		return (token != null) ? token.text() : "";
	}

	int number(String option, int defaultValue) {
		this.allowedOptions.add(option);
		Token token = this.options.get(option);
		if (token == null) {
			return defaultValue;
		}
		Token value = token.skip(option.length() + 1);
		try {
			int number = Integer.parseInt(value.text());
			if (number >= 1 && number <= MAX_NUMBER) {
				return number;
			}
		}
		catch (NumberFormatException ex) {
			// Reported below, as are numbers out of range.
		}
		this.errors.add(value.error("\"%s\" is not valid for \"%s\"".formatted(shorten(value.text()), option),
				"a whole number from 1 to " + MAX_NUMBER));
		return defaultValue;
	}

	Priority priority() {
		this.allowedOptions.add("priority");
		Token token = this.options.get("priority");
		if (token == null) {
			return Priority.NORMAL;
		}
		Token value = token.skip("priority".length() + 1);
		Optional<Priority> priority = Priority.of(value.text());
		if (priority.isEmpty()) {
			reportUnknown(value, "priority", "one of low, normal, high", List.of("low", "normal", "high"));
		}
		return priority.orElse(Priority.NORMAL);
	}

	Optional<Rule> finish(Supplier<Rule> rule) {
		for (Token extra : this.words.subList(this.nextWord, this.words.size())) {
			this.errors.add(extra.error("\"%s\" is not expected here".formatted(shorten(extra.text())),
					this.allowedOptions.isEmpty() ? "the comment"
							: "the comment or an option: " + String.join(", ", this.allowedOptions),
					KnownNames.nearest(extra.text(), this.allowedOptions)));
		}
		this.options.forEach((name, token) -> {
			if (!this.allowedOptions.contains(name)) {
				reportUnknown(
						new Token(name, token.line(), token.column()), "option", this.allowedOptions.isEmpty()
								? "no options" : "one of " + String.join(", ", this.allowedOptions),
						this.allowedOptions);
			}
		});
		return (this.errors.size() == this.initialErrors) ? Optional.of(rule.get()) : Optional.empty();
	}

	private String checkKnown(Token token, String expected, String kind, Set<String> names) {
		String name = checkName(token, expected, names);
		if (!name.isEmpty() && !names.isEmpty() && !names.contains(name)) {
			reportUnknown(token, kind, expected, names);
		}
		return name;
	}

	private String checkName(Token token, String expected, Collection<String> candidates) {
		String text = token.text();
		if (text.length() <= MAX_NAME_LENGTH && NAME.matcher(text).matches()) {
			return text;
		}
		this.errors.add(token.error("\"%s\" is not a name".formatted(shorten(text)),
				expected + ", of letters, digits, dots, dashes and underscores", nearest(text, candidates)));
		return "";
	}

	private void reportUnknown(Token token, String kind, String expected, Collection<String> candidates) {
		this.errors.add(token.error("unknown %s \"%s\"".formatted(kind, shorten(token.text())), expected,
				nearest(token.text(), candidates)));
	}

	private static Optional<String> nearest(String text, Collection<String> candidates) {
		return KnownNames.nearest(shorten(text), candidates);
	}

	private static String shorten(String text) {
		return (text.length() <= MAX_NAME_LENGTH + DIGEST_PREFIX.length()) ? text
				: text.substring(0, MAX_NAME_LENGTH) + "...";
	}

}
