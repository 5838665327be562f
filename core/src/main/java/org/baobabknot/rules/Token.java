package org.baobabknot.rules;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A word of a rule with its position in the text.
 *
 * @param text the word
 * @param line line, from 1
 * @param column column, from 1
 */
record Token(String text, int line, int column) {

	private static final Pattern WORD = Pattern.compile("\\S+");

	static List<Token> split(String content, int line) {
		List<Token> tokens = new ArrayList<>();
		Matcher matcher = WORD.matcher(content);
		while (matcher.find()) {
			tokens.add(new Token(matcher.group(), line, matcher.start() + 1));
		}
		return tokens;
	}

	/**
	 * Returns this token without its first characters.
	 */
	Token skip(int characters) {
		return new Token(this.text.substring(characters), this.line, this.column + characters);
	}

	RuleError error(String problem, String expected) {
		return new RuleError(this.line, this.column, problem, expected, Optional.empty());
	}

	RuleError error(String problem, String expected, Optional<String> nearest) {
		return new RuleError(this.line, this.column, problem, expected, nearest);
	}

}
