package org.baobabknot.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;

import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.baobabknot.agent.AgentRole;
import org.baobabknot.entry.EntryRole;
import org.baobabknot.observe.DecisionLog;
import org.baobabknot.observe.JsonLogFormatter;
import org.baobabknot.settings.ProcessRole;
import org.baobabknot.settings.Settings;
import org.baobabknot.settings.SettingsReader;
import org.baobabknot.settings.SettingsResult;
import sun.misc.Signal;

/**
 * Main class of the entry and agent processes.
 */
public final class Baobabknotd {

	private static final int EXIT_FAILED = 1;

	private static final int EXIT_USAGE = 2;

	/** Longest time for which a full or closed output delays the end of the process. */
	private static final long OUTPUT_FLUSH_MS = 100;

	private Baobabknotd() {
	}

	/**
	 * Runs a process until SIGTERM or SIGINT.
	 * @param arguments command line
	 */
	public static void main(String[] arguments) {
		System.exit(run(arguments, System.out, System.err));
	}

	/**
	 * Runs a command line.
	 * @param arguments command line
	 * @param out standard output
	 * @param err standard error
	 * @return exit status: 0 after a normal end, 1 if the process could not run, 2 for an
	 * invalid command line or settings file
	 */
	static int run(String[] arguments, PrintStream out, PrintStream err) {
		OptionParser parser = new OptionParser();
		OptionSpec<String> file = parser.accepts("settings", "settings file of the process")
			.withRequiredArg()
			.describedAs("FILE");
		OptionSpec<Void> check = parser.accepts("check", "check the settings file and exit");
		OptionSpec<Void> help = parser.accepts("help", "show this text").forHelp();
		OptionSpec<Void> version = parser.accepts("version", "show the version").forHelp();
		try {
			OptionSet options = parser.parse(arguments);
			if (options.has(help)) {
				out.println("Usage: baobabknotd --settings FILE [--check]");
				parser.printHelpOn(out);
				return 0;
			}
			if (options.has(version)) {
				out.println("baobabknotd " + versionText());
				return 0;
			}
			if (!options.has(file) || !options.nonOptionArguments().isEmpty()) {
				err.println("expected --settings FILE and no other arguments; see --help");
				return EXIT_USAGE;
			}
			return runWithSettings(Path.of(options.valueOf(file)), options.has(check), out, err);
		}
		catch (OptionException | IOException ex) {
			err.println(ex.getMessage() + "; see --help");
			return EXIT_USAGE;
		}
	}

	private static int runWithSettings(Path file, boolean checkOnly, PrintStream out, PrintStream err) {
		SettingsResult result = SettingsReader.read(file);
		if (result instanceof SettingsResult.Rejected rejected) {
			err.println(file + " is not valid:");
			rejected.errors().forEach((error) -> err.println("  " + error));
			return EXIT_USAGE;
		}
		Settings settings = ((SettingsResult.Accepted) result).settings();
		if (checkOnly) {
			out.println(file + " is valid");
			return 0;
		}
		DecisionLog log = DecisionLog.toStandardError(settings.instance());
		JsonLogFormatter.install(settings.instance(), log);
		try {
			Daemon daemon = new Daemon(settings, roleFactory(settings.role()), log);
			int status = runUntilSignal(daemon, settings, out);
			log.line(DecisionLog.Importance.PROCESS_END, "stopped").write();
			log.flush(OUTPUT_FLUSH_MS);
			return status;
		}
		catch (IOException | CompletionException ex) {
			err.println("cannot start " + settings.instance() + ": " + ex.getMessage());
			return EXIT_FAILED;
		}
	}

	private static int runUntilSignal(Daemon daemon, Settings settings, PrintStream out) {
		CountDownLatch drained = new CountDownLatch(1);
		// Signals are handled here, because a shutdown hook would run after the log
		// handlers are closed.
		for (String name : new String[] { "TERM", "INT" }) {
			Signal.handle(new Signal(name),
					(signal) -> daemon.stop("SIG" + signal.getName(), settings.timeouts().shutdownMs())
						.thenRun(drained::countDown));
		}
		daemon.start().join();
		printPort(daemon.address().getPort(), out);
		try {
			drained.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		daemon.close();
		return 0;
	}

	// An output that nobody reads must not keep the process from handling its signals.
	private static void printPort(int port, PrintStream out) {
		Thread printer = new Thread(() -> {
			out.println("listening on " + port);
			out.flush();
		}, "print-port");
		printer.setDaemon(true);
		printer.start();
	}

	private static Function<ProcessContext, Role> roleFactory(ProcessRole role) {
		return (role == ProcessRole.ENTRY) ? EntryRole::new : AgentRole::new;
	}

	private static String versionText() {
		String version = Baobabknotd.class.getPackage().getImplementationVersion();
		return (version != null) ? version : "(development build)";
	}

}
