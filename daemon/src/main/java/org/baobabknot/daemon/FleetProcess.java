package org.baobabknot.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.baobabknot.gateway.Gateway;
import org.baobabknot.loader.Loader;
import org.baobabknot.observe.DecisionLog;
import org.baobabknot.observe.JsonLogFormatter;
import org.baobabknot.settings.FleetSettings;
import org.baobabknot.settings.FleetSettingsReader;
import org.baobabknot.settings.SettingsError;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Main class of the gateway and loader processes, which run on the users' platform.
 */
public final class FleetProcess {

	private static final int EXIT_FAILED = 1;

	private static final int EXIT_USAGE = 2;

	/** Longest time for which a full or closed output delays the end of the process. */
	private static final long LOG_FLUSH_MS = 100;

	private FleetProcess() {
	}

	/**
	 * Runs a process until SIGTERM or SIGINT.
	 * @param arguments command line
	 */
	public static void main(String[] arguments) {
		// Its default action would end the process, and the settings are read below
		// anyway.
		Signal.handle(new Signal("HUP"), SignalHandler.SIG_IGN);
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
		OptionSpec<String> variable = parser
			.accepts("settings-in", "environment variable that holds the path of the settings file")
			.withRequiredArg()
			.describedAs("NAME");
		OptionSpec<Void> check = parser.accepts("check", "check the settings file and exit");
		OptionSpec<Void> help = parser.accepts("help", "show this text").forHelp();
		try {
			OptionSet options = parser.parse(arguments);
			if (options.has(help)) {
				out.println("Usage: fleet process (--settings FILE | --settings-in NAME) [--check]");
				parser.printHelpOn(out);
				return 0;
			}
			String path = (options.has(variable)) ? System.getenv(options.valueOf(variable)) : options.valueOf(file);
			if (path == null || !options.nonOptionArguments().isEmpty()) {
				err.println("expected --settings FILE or --settings-in NAME; see --help");
				return EXIT_USAGE;
			}
			return runWithSettings(Path.of(path), options.has(check), out, err);
		}
		catch (OptionException | IOException ex) {
			err.println(ex.getMessage() + "; see --help");
			return EXIT_USAGE;
		}
	}

	private static int runWithSettings(Path file, boolean checkOnly, PrintStream out, PrintStream err)
			throws IOException {
		FleetSettingsReader.Result result = FleetSettingsReader.read(file);
		if (result instanceof FleetSettingsReader.Result.Rejected rejected) {
			err.println(file + " is not valid:");
			for (SettingsError error : rejected.errors()) {
				err.println("  " + error);
			}
			return EXIT_USAGE;
		}
		FleetSettings settings = ((FleetSettingsReader.Result.Accepted) result).settings();
		if (checkOnly) {
			out.println(file + " is valid");
			return 0;
		}
		JsonLogFormatter.install(settings.instance(), DecisionLog.toStandardError(settings.instance()));
		DecisionLog log = new DecisionLog(settings.instance());
		EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		try {
			CompletableFuture<Void> ended = startRole(settings, file, group, log);
			ended.join();
			log.line(DecisionLog.Importance.PROCESS_END, "stopped").write();
			log.flush(LOG_FLUSH_MS);
			return 0;
		}
		catch (CompletionException ex) {
			err.println("cannot run " + settings.instance() + ": " + ex.getCause());
			log.flush(LOG_FLUSH_MS);
			return EXIT_FAILED;
		}
	}

	private static CompletableFuture<Void> startRole(FleetSettings settings, Path file, EventLoopGroup group,
			DecisionLog log) {
		CompletableFuture<Void> ended = new CompletableFuture<>();
		if (settings.role() == FleetSettings.FleetRole.GATEWAY) {
			Gateway gateway = new Gateway(settings, group, log);
			onStopSignal(log, () -> gateway.shutDown().thenRun(() -> ended.complete(null)));
			gateway.start().join();
		}
		else {
			Loader loader = new Loader(settings, group, log);
			onStopSignal(log, () -> ended.complete(null));
			loader.start().join();
		}
		Signal.handle(new Signal("HUP"), (signal) -> reportSettingsChange(file, settings, log));
		log.line(DecisionLog.Importance.STATE, "started")
			.with("role", settings.role().name())
			.with("domain", settings.failureDomain())
			.write();
		return ended;
	}

	private static void onStopSignal(DecisionLog log, Runnable stop) {
		for (String name : new String[] { "TERM", "INT" }) {
			Signal.handle(new Signal(name), (signal) -> {
				log.line(DecisionLog.Importance.STATE, "stopping").with("signal", signal.getName()).write();
				stop.run();
			});
		}
	}

	// Addresses and limits are only read at the start. A changed file is logged, so that
	// operators know that it takes effect after a restart.
	private static void reportSettingsChange(Path file, FleetSettings inForce, DecisionLog log) {
		FleetSettingsReader.Result result = FleetSettingsReader.read(file);
		boolean isUnchanged = result instanceof FleetSettingsReader.Result.Accepted accepted
				&& accepted.settings().equals(inForce);
		log.line(DecisionLog.Importance.STATE, "settings-read")
			.with("outcome", (isUnchanged) ? "unchanged" : "changed, in force after a restart")
			.write();
	}

}
