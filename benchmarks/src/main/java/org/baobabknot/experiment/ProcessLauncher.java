package org.baobabknot.experiment;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Starts Java processes of this repository, with their settings and logs in a temporary
 * folder. All of them are stopped by {@link #close} and when this process exits, also on
 * SIGINT or SIGTERM.
 */
public final class ProcessLauncher implements AutoCloseable {

	/** System property with the root folder of the repository. */
	public static final String ROOT_PROPERTY = "baobabknot.root";

	// An entry drains for 5 s because of the load balancer. Stopping a run need not wait
	// for that.
	private static final long STOP_GRACE_MS = 1_500;

	// About 50 processes share one machine, so heaps and stacks are small and
	// only the first compiler tier is used.
	private static final List<String> SMALL_PROCESS_OPTIONS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
			"-XX:CICompilerCount=1", "-Xss512k", "-XX:-UsePerfData", "-Djava.net.preferIPv4Stack=true");

	private final Path root;

	private final Path folder;

	private final ObjectMapper mapper = new ObjectMapper();

	private final List<LaunchedProcess> processes = new ArrayList<>();

	private final Thread shutdownHook = new Thread(this::stopAndCleanUp, "end-processes");

	private boolean closing;

	private volatile boolean keepFolder;

	private volatile boolean detached;

	/**
	 * Creates a launcher with a new temporary folder.
	 * @param root the root folder of the repository
	 */
	public ProcessLauncher(Path root) {
		this.root = root;
		try {
			this.folder = Files.createTempDirectory("baobabknot-");
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		Runtime.getRuntime().addShutdownHook(this.shutdownHook);
	}

	/**
	 * Creates a launcher for the repository folder given by {@link #ROOT_PROPERTY}, or
	 * for the current folder.
	 * @return a new launcher
	 */
	public static ProcessLauncher forRepository() {
		return new ProcessLauncher(Path.of(System.getProperty(ROOT_PROPERTY, ".")).toAbsolutePath().normalize());
	}

	/**
	 * Returns the root folder of the repository.
	 * @return the root folder
	 */
	public Path root() {
		return this.root;
	}

	/**
	 * Returns the temporary folder of this run.
	 * @return the folder
	 */
	public Path folder() {
		return this.folder;
	}

	/**
	 * Prevents the deletion of the temporary folder when this launcher is closed.
	 */
	public void keepFolder() {
		this.keepFolder = true;
	}

	/**
	 * Writes a settings file.
	 * @param name the file name
	 * @param content the settings
	 * @return the path of the file
	 */
	public Path writeJson(String name, JsonNode content) {
		return writeText(name, content.toPrettyString());
	}

	/**
	 * Writes a record or any other value that Jackson can serialize as a settings file.
	 * @param name the file name
	 * @param content the value
	 * @return the path of the file
	 */
	public Path writeJson(String name, Object content) {
		return writeJson(name, this.mapper.<JsonNode>valueToTree(content));
	}

	/**
	 * Writes a text file.
	 * @param name the file name
	 * @param text the text
	 * @return the path of the file
	 */
	public Path writeText(String name, String text) {
		try {
			return Files.writeString(this.folder.resolve(name), text);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Starts a Java process with the class path of this repository. Standard output and
	 * standard error go to {@code NAME.log} in the temporary folder, and to
	 * {@code NAME-2.log} and so on when a process of the same name was started before.
	 * @param name the name of the process, unique among the running ones
	 * @param mainClass the main class
	 * @param jvmOptions options of the JVM, such as {@code -Xmx64m}
	 * @param arguments the arguments of the program
	 * @return the started process
	 */
	public LaunchedProcess start(String name, String mainClass, List<String> jvmOptions, List<String> arguments) {
		List<String> command = new ArrayList<>();
		command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
		command.addAll(SMALL_PROCESS_OPTIONS);
		Path archive = this.root.resolve("benchmarks").resolve("target").resolve("daemon.jsa");
		if (Files.exists(archive)) {
			command.addAll(List.of("-XX:SharedArchiveFile=" + archive, "-Xlog:cds=off", "-Xlog:cds+dynamic=off"));
		}
		command.addAll(jvmOptions);
		command.addAll(List.of("-cp", classPath(), mainClass));
		command.addAll(arguments);
		Path log = newLogFile(name);
		synchronized (this.processes) {
			if (this.closing) {
				throw new IllegalStateException("start " + name + ": the launcher is closed");
			}
			LaunchedProcess launched = new LaunchedProcess(name, startProcess(command, log), log);
			this.processes.add(launched);
			return launched;
		}
	}

	private Path newLogFile(String name) {
		Path log = this.folder.resolve(name + ".log");
		for (int number = 2; Files.exists(log); number++) {
			log = this.folder.resolve(name + "-" + number + ".log");
		}
		return log;
	}

	private Process startProcess(List<String> command, Path log) {
		try {
			return new ProcessBuilder(command).directory(this.folder.toFile())
				.redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
				.redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")))
				.start();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Returns the class path of the started processes.
	 * @return the class path of the packaged JAR files, or that of this process if there
	 * are none
	 */
	public String classPath() {
		Path target = this.root.resolve("benchmarks").resolve("target");
		if (Files.isDirectory(target.resolve("lib"))) {
			return target.resolve("*") + File.pathSeparator + target.resolve("lib").resolve("*");
		}
		return System.getProperty("java.class.path");
	}

	/**
	 * Returns all processes that this launcher has started.
	 * @return a copy of the list
	 */
	public List<LaunchedProcess> processes() {
		synchronized (this.processes) {
			return List.copyOf(this.processes);
		}
	}

	/**
	 * Stops all processes and prevents that further ones are started.
	 */
	public void stopAll() {
		List<LaunchedProcess> running;
		synchronized (this.processes) {
			this.closing = true;
			running = List.copyOf(this.processes);
		}
		stop(running);
	}

	/**
	 * Stops processes with SIGTERM, and with SIGKILL those that still run after the grace
	 * time. Paused processes are resumed first, because they would not handle SIGTERM.
	 * @param processesToStop the processes
	 */
	public void stop(List<LaunchedProcess> processesToStop) {
		for (LaunchedProcess process : processesToStop) {
			if (process.isAlive()) {
				process.signal("CONT");
				process.signal("TERM");
			}
		}
		long deadline = System.nanoTime() + STOP_GRACE_MS * 1_000_000;
		for (LaunchedProcess process : processesToStop) {
			if (!process.awaitExit(Math.max(0, (deadline - System.nanoTime()) / 1_000_000))) {
				process.kill();
			}
		}
	}

	/**
	 * Keeps the processes running and the folder in place when this process exits.
	 */
	public void detach() {
		Runtime.getRuntime().removeShutdownHook(this.shutdownHook);
		this.detached = true;
	}

	@Override
	public void close() {
		if (this.detached) {
			return;
		}
		try {
			Runtime.getRuntime().removeShutdownHook(this.shutdownHook);
		}
		catch (IllegalStateException ex) {
			// This process is already exiting; the shutdown hook stops the processes.
			return;
		}
		stopAndCleanUp();
	}

	/**
	 * Returns whether the processes are being stopped.
	 * @return {@code true} once {@link #stopAll} has been called
	 */
	public boolean isClosing() {
		synchronized (this.processes) {
			return this.closing;
		}
	}

	private void stopAndCleanUp() {
		stopAll();
		if (!this.keepFolder) {
			deleteFolder();
		}
	}

	private void deleteFolder() {
		try (Stream<Path> files = Files.walk(this.folder)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.deleteIfExists(file);
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
