package org.baobabknot.command;

import java.util.List;

import joptsimple.OptionSet;

/**
 * Reads arguments that are not options.
 */
final class Arguments {

	private Arguments() {
	}

	static List<String> all(OptionSet options) {
		return options.nonOptionArguments().stream().map(String::valueOf).toList();
	}

	/**
	 * Returns the only argument.
	 * @param options the parsed options
	 * @param name what is expected
	 * @return the argument
	 * @throws CommandFailure when there is none or more than one
	 */
	static String single(OptionSet options, String name) throws CommandFailure {
		List<String> arguments = all(options);
		if (arguments.size() != 1) {
			throw new CommandFailure(ExitStatus.USAGE, "expected one argument " + name + ", found " + arguments.size());
		}
		return arguments.get(0);
	}

}
