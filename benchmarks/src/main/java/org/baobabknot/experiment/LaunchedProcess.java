package org.baobabknot.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * A child process started by {@link ProcessLauncher}.
 */
public final class LaunchedProcess {

	private final String name;

	private final Process process;

	private final Path logFile;

	LaunchedProcess(String name, Process process, Path logFile) {
		this.name = name;
		this.process = process;
		this.logFile = logFile;
	}

	/**
	 * Returns the name that the process was started under.
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
	 * Returns whether the process is running. A process paused by SIGSTOP counts as
	 * running.
	 * @return {@code true} until the process has ended
	 */
	public boolean isAlive() {
		return this.process.isAlive();
	}

	/**
	 * Returns the file that receives standard output and standard error.
	 * @return the log file
	 */
	public Path logFile() {
		return this.logFile;
	}

	/**
	 * Returns the log written so far.
	 * @return the text of the log
	 */
	public String logText() {
		try {
			return Files.readString(this.logFile);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Sends a signal to the process.
	 * @param signal the name of the signal without the prefix SIG, such as {@code TERM},
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
	 * Stops the process with SIGTERM, then with SIGKILL if it has not exited in time.
	 * @param graceMs time to exit after SIGTERM, in milliseconds
	 */
	public void stop(long graceMs) {
		this.process.destroy();
		if (!awaitExit(graceMs)) {
			this.process.destroyForcibly();
			awaitExit(graceMs);
		}
	}

	/**
	 * Kills the process with SIGKILL and waits up to 5 s for its exit.
	 */
	public void kill() {
		this.process.destroyForcibly();
		awaitExit(TimeUnit.SECONDS.toMillis(5));
	}

	/**
	 * Waits for the process to exit.
	 * @param timeoutMs the longest time to wait, in milliseconds
	 * @return whether the process has exited
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
	 * Returns the exit status of a process that has exited.
	 * @return the exit status
	 */
	public int exitStatus() {
		return this.process.exitValue();
	}

}
