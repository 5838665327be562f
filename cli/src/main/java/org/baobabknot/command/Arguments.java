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
	 * Returns the argument of a command that takes exactly one.
	 * @param options the parsed options
	 * @param name name of the argument for the error message
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
