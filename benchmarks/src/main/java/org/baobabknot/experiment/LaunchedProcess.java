package org.baobabknot.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * A process started by {@link ProcessLauncher}.
 */
public final class LaunchedProcess {

	private final String name;

	private final Process process;

	private final Path log;

	LaunchedProcess(String name, Process process, Path log) {
		this.name = name;
		this.process = process;
		this.log = log;
	}

	/**
	 * Returns the name given at the start.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the process id.
	 * @return the process id
	 */
	public long pid() {
		return this.process.pid();
	}

	/**
	 * Tells whether the process runs (a stopped one counts as running).
	 * @return {@code true} until the process has ended
	 */
	public boolean isAlive() {
		return this.process.isAlive();
	}

	/**
	 * Returns the file with standard output and standard error.
	 * @return the log file
	 */
	public Path log() {
		return this.log;
	}

	/**
	 * Returns the log written so far.
	 * @return the text of the log
	 */
	public String logText() {
		try {
			return Files.readString(this.log);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Sends a signal by process id.
	 * @param signal the name of the signal without prefix, such as {@code TERM},
	 * {@code KILL}, {@code STOP} or {@code CONT}
	 */
	public void signal(String signal) {
		try {
			new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.DISCARD)
				.start()
				.waitFor();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Ends the process: SIGTERM, then SIGKILL when it has not ended in time.
	 * @param graceMs time to end on SIGTERM, in milliseconds
	 */
	public void stop(long graceMs) {
		this.process.destroy();
		if (!awaitExit(graceMs)) {
			this.process.destroyForcibly();
			awaitExit(graceMs);
		}
	}

	/**
	 * Ends the process at once with SIGKILL and waits for its end.
	 */
	public void kill() {
		this.process.destroyForcibly();
		awaitExit(TimeUnit.SECONDS.toMillis(5));
	}

	/**
	 * Waits for the end of the process.
	 * @param timeoutMs the longest time to wait, in milliseconds
	 * @return whether the process has ended
	 */
	public boolean awaitExit(long timeoutMs) {
		try {
			return this.process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return !isAlive();
		}
	}

	/**
	 * Returns the exit status.
	 * @return the exit status of an ended process
	 */
	public int exitStatus() {
		return this.process.exitValue();
	}

}
