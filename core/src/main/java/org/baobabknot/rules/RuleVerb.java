package org.baobabknot.rules;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Verbs of the rule language. Each parses the rest of a line that begins with it.
 */
enum RuleVerb {

	MODEL {

		@Override
		Optional<Rule> read(RuleLine line) {
			String service = line.service("the name of a service");
			String version = line.name("a version");
			String digest = line.digest();
			int out = line.number("out", 1);
			return line.finish(() -> new Rule.Model(line.number(), line.comment(), service, version, digest, out));
		}

	},

	WORKSPACE {

		@Override
		Optional<Rule> read(RuleLine line) {
			String workspace = line.workspace();
			List<String> services = line.services();
			int share = line.number("share", 1);
			Priority ceiling = line.priority();
			return line
				.finish(() -> new Rule.Workspace(line.number(), line.comment(), workspace, services, share, ceiling));
		}

	},

	DOMAIN {

		@Override
		Optional<Rule> read(RuleLine line) {
			String domain = line.domain();
			boolean inService = line.choice(List.of("in", "out")).equals("in");
			return line.finish(() -> new Rule.Domain(line.number(), line.comment(), domain, inService));
		}

	},

	ONCE {

		@Override
		Optional<Rule> read(RuleLine line) {
			String service = line.service("the name of a service");
			String method = line.method();
			String prefix = line.path();
			return line.finish(() -> new Rule.Once(line.number(), line.comment(), service, method, prefix));
		}

	};

	static final List<String> NAMES = Arrays.stream(values()).map(RuleVerb::lowerCaseName).toList();

	abstract Optional<Rule> read(RuleLine line);

	private String lowerCaseName() {
		return name().toLowerCase(Locale.ROOT);
	}

	static Optional<RuleVerb> of(String word) {
		return Arrays.stream(values()).filter((verb) -> verb.lowerCaseName().equals(word)).findFirst();
	}

}
