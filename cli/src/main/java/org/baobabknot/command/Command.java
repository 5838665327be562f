package org.baobabknot.command;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * One command of the tool. An instance is used for one run.
 */
interface Command {

	/**
	 * Declares the options of the command.
	 * @param parser the parser to add options to
	 */
	default void declare(OptionParser parser) {
	}

	/**
	 * Runs the command.
	 * @param options the parsed options
	 * @param context settings, connections and progress output
	 * @return the result
	 * @throws CommandFailure when the command failed before it changed anything
	 */
	CommandResult run(OptionSet options, CommandContext context) throws CommandFailure;

}
