package org.baobabknot.quickstart;

import java.io.IOException;
import java.util.Optional;

import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.baobabknot.experiment.Deployment;
import org.baobabknot.experiment.ExperimentContext;
import org.baobabknot.experiment.ProcessLauncher;

/**
 * Main class of {@code ./quickstart}. Exit status: 0 everything held, 1 something did
 * not, 2 wrong usage.
 */
public final class Quickstart {

	private static final int HELD = 0;

	private static final int FAILED = 1;

	private static final int USAGE = 2;

	private Quickstart() {
	}

	public static void main(String[] args) {
		System.exit(run(args));
	}

	private static int run(String[] args) {
		OptionParser parser = new OptionParser();
		parser.accepts("help", "prints this help").forHelp();
		parser.accepts("deployment", "landshut or roshan").withRequiredArg().defaultsTo("landshut");
		parser.accepts("keep", "leaves the processes running and prints commands to try");
		parser.accepts("keep-logs", "keeps settings and logs of the processes");
		try {
			OptionSet options = parser.parse(args);
			if (options.has("help")) {
				System.out.println("usage: ./quickstart [--deployment landshut|roshan] [--keep]");
				parser.printHelpOn(System.out);
				return HELD;
			}
			Optional<Deployment> deployment = Deployment.byName((String) options.valueOf("deployment"));
			if (deployment.isEmpty()) {
				System.err.println("quickstart: --deployment: expected landshut or roshan");
				return USAGE;
			}
			return show(deployment.get(), options);
		}
		catch (OptionException | IOException ex) {
			System.err.println("quickstart: " + ex.getMessage());
			return USAGE;
		}
	}

	private static int show(Deployment deployment, OptionSet options) {
		try (ProcessLauncher launcher = ProcessLauncher.forRepository()) {
			if (options.has("keep-logs")) {
				launcher.keepFolder();
				System.out.println("settings and logs: " + launcher.folder());
			}
			return show(new ExperimentContext(launcher, System.out), deployment, options.has("keep"));
		}
	}

	private static int show(ExperimentContext context, Deployment deployment, boolean keep) {
		try {
			Demonstration demonstration = new Demonstration(context, deployment);
			Summary summary = demonstration.run();
			if (keep) {
				demonstration.keep();
			}
			summary.lines().forEach(System.out::println);
			return summary.held() ? HELD : FAILED;
		}
		catch (Exception ex) {
			// Processes that end on an interruption make the demonstration fail as well.
			if (!context.launcher().isClosing()) {
				System.err.println("quickstart failed: " + ex);
			}
			return FAILED;
		}
	}

}
