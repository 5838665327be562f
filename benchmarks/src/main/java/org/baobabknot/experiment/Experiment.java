package org.baobabknot.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.Optional;

import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * Main class of {@code ./experiment}. Exit status: 0 when all checks passed, 1 when a
 * check failed or the experiment could not be run, 2 for a usage error.
 */
public final class Experiment {

	private static final int EXIT_PASSED = 0;

	private static final int EXIT_FAILED = 1;

	private static final int EXIT_USAGE = 2;

	private Experiment() {
	}

	public static void main(String[] args) {
		System.exit(run(args, System.out, System.err));
	}

	static int run(String[] args, PrintStream output, PrintStream progress) {
		if (args.length == 0 || "--help".equals(args[0])) {
			printUsage((args.length == 0) ? progress : output);
			return (args.length == 0) ? EXIT_USAGE : EXIT_PASSED;
		}
		Optional<Subcommands> subcommand = Subcommands.byName(args[0]);
		if (subcommand.isEmpty()) {
			progress.println("experiment: unknown subcommand \"" + args[0] + "\"");
			printUsage(progress);
			return EXIT_USAGE;
		}
		return run(subcommand.get(), Arrays.copyOfRange(args, 1, args.length), output, progress);
	}

	private static int run(Subcommands entry, String[] args, PrintStream output, PrintStream progress) {
		Subcommand subcommand = entry.create();
		OptionParser parser = new OptionParser();
		parser.accepts("help", "prints this help").forHelp();
		parser.accepts("keep-logs", "keeps settings and logs of the processes and prints their folder");
		subcommand.declare(parser);
		try {
			OptionSet options = parser.parse(args);
			if (options.has("help")) {
				output.println("./experiment " + entry.commandName() + ": " + entry.summary());
				parser.printHelpOn(output);
				return EXIT_PASSED;
			}
			return measure(subcommand, options, output, progress);
		}
		catch (OptionException ex) {
			progress.println("experiment " + entry.commandName() + ": " + ex.getMessage());
			return EXIT_USAGE;
		}
		catch (IOException ex) {
			progress.println("experiment: " + ex.getMessage());
			return EXIT_FAILED;
		}
	}

	private static int measure(Subcommand subcommand, OptionSet options, PrintStream output, PrintStream progress) {
		try (ProcessLauncher launcher = ProcessLauncher.forRepository()) {
			if (options.has("keep-logs")) {
				launcher.keepFolder();
				progress.println("settings and logs: " + launcher.folder());
			}
			return measure(subcommand, options, output, new ExperimentContext(launcher, progress));
		}
	}

	private static int measure(Subcommand subcommand, OptionSet options, PrintStream output,
			ExperimentContext context) {
		try {
			ExperimentResult outcome = subcommand.run(options, context);
			output.println(outcome.figures().toString());
			return outcome.allChecksPassed() ? EXIT_PASSED : EXIT_FAILED;
		}
		catch (Exception ex) {
			// On an interrupt the launcher ends the processes, which makes the experiment
			// fail as well; that failure is not printed.
			if (!context.launcher().isClosing()) {
				ex.printStackTrace(context.progress());
			}
			return EXIT_FAILED;
		}
	}

	private static void printUsage(PrintStream output) {
		output.println("usage: ./experiment SUBCOMMAND [OPTIONS]   (--help after a subcommand lists its options)");
		for (Subcommands entry : Subcommands.values()) {
			output.println(String.format("  %-12s %s", entry.commandName(), entry.summary()));
		}
	}

}
