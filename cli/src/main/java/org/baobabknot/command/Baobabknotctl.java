package org.baobabknot.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Optional;

import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * Main class of {@code baobabknotctl}. Results go to standard output, progress and errors
 * to standard error.
 */
public final class Baobabknotctl {

	private static final String SETTINGS_ENVIRONMENT_VARIABLE = "BAOBABKNOTCTL_SETTINGS";

	private static final String DEFAULT_SETTINGS_FILE = "baobabknotctl.json";

	private Baobabknotctl() {
	}

	public static void main(String[] args) {
		System.exit(run(args, System.out, System.err));
	}

	static int run(String[] args, PrintStream output, PrintStream errors) {
		if (args.length > 0 && "--help".equals(args[0])) {
			printUsage(output);
			return ExitStatus.OK.code();
		}
		if (args.length == 0) {
			printUsage(errors);
			return ExitStatus.USAGE.code();
		}
		Optional<Commands> command = Commands.byName(args[0]);
		if (command.isEmpty()) {
			errors.println("baobabknotctl: unknown command \"" + args[0] + "\"");
			printUsage(errors);
			return ExitStatus.USAGE.code();
		}
		return run(command.get(), Arrays.copyOfRange(args, 1, args.length), output, errors).code();
	}

	private static ExitStatus run(Commands entry, String[] args, PrintStream output, PrintStream errors) {
		Command command = entry.create();
		OptionParser parser = new OptionParser();
		parser.accepts("help", "prints this help").forHelp();
		parser.accepts("json", "prints the result as one JSON line");
		parser.accepts("settings", "settings file of the tool").withRequiredArg().defaultsTo(defaultSettingsFile());
		command.declare(parser);
		try {
			OptionSet options = parser.parse(args);
			if (options.has("help")) {
				output.println("baobabknotctl " + entry.usage() + ": " + entry.summary());
				parser.printHelpOn(output);
				return ExitStatus.OK;
			}
			CommandResult result = execute(command, options, errors);
			printResult(result, options.has("json"), output, errors);
			return result.status();
		}
		catch (OptionException | IOException ex) {
			errors.println("baobabknotctl " + entry.commandName() + ": " + ex.getMessage());
			return ExitStatus.USAGE;
		}
	}

	private static CommandResult execute(Command command, OptionSet options, PrintStream errors) {
		try (CommandContext context = new CommandContext(Path.of((String) options.valueOf("settings")), errors)) {
			return command.run(options, context);
		}
		catch (CommandFailure ex) {
			return ex.result();
		}
	}

	private static String defaultSettingsFile() {
		return Optional.ofNullable(System.getenv(SETTINGS_ENVIRONMENT_VARIABLE)).orElse(DEFAULT_SETTINGS_FILE);
	}

	private static void printResult(CommandResult result, boolean json, PrintStream output, PrintStream errors) {
		if (json) {
			output.println(result.json().put("exit_status", result.status().code()));
			return;
		}
		PrintStream stream = (result.status() == ExitStatus.OK) ? output : errors;
		result.lines().forEach(stream::println);
	}

	private static void printUsage(PrintStream output) {
		output.println("usage: baobabknotctl COMMAND [OPTIONS]   (--help after a command lists its options)");
		for (Commands entry : Commands.values()) {
			output.println(String.format("  %-30s %s", entry.usage(), entry.summary()));
		}
		output.println("exit status: 0 done, 1 refused by the system, 2 usage, 3 outcome unknown, 4 bad rules, "
				+ "5 unreachable");
	}

}
