package org.baobabknot.experiment;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Resources that a process has used until the time of the reading, taken from Linux's
 * {@code /proc} and the JVM.
 *
 * @param readNanos monotonic time of the reading, in nanoseconds
 * @param cpuNanos CPU time of all threads, in nanoseconds
 * @param residentBytes resident memory
 * @param ioBytes bytes read and written by system calls; for a running daemon these are
 * almost only its sockets
 */
public record ProcessUsage(long readNanos, long cpuNanos, long residentBytes, long ioBytes) {

	private static final Pattern HEAP_USED_PATTERN = Pattern.compile("used (\\d+)K");

	/**
	 * Reads the usage of a process.
	 * @param process the process
	 * @return the usage
	 * @throws IOException if the process has exited
	 */
	public static ProcessUsage of(LaunchedProcess process) throws IOException {
		Path folder = Path.of("/proc", Long.toString(process.pid()));
		Duration cpu = ProcessHandle.of(process.pid())
			.flatMap((handle) -> handle.info().totalCpuDuration())
			.orElseThrow(() -> new IOException(process.name() + " has ended"));
		long resident = readField(folder.resolve("status"), "VmRSS:") * 1024;
		Path io = folder.resolve("io");
		return new ProcessUsage(System.nanoTime(), cpu.toNanos(), resident,
				readField(io, "rchar:") + readField(io, "wchar:"));
	}

	private static long readField(Path file, String name) throws IOException {
		for (String line : Files.readAllLines(file)) {
			if (line.startsWith(name)) {
				return Long.parseLong(line.substring(name.length()).replace("kB", "").strip());
			}
		}
		throw new IOException(file + ": no field " + name);
	}

	/**
	 * Runs a full garbage collection and returns the heap in use after it.
	 * @param process the process
	 * @return bytes
	 * @throws IOException if the JVM does not respond
	 * @throws InterruptedException when interrupted
	 */
	public static long liveHeapBytes(LaunchedProcess process) throws IOException, InterruptedException {
		runJcmd(process, "GC.run");
		return heapBytes(process);
	}

	/**
	 * Returns the heap in use, including unreachable objects that have not been
	 * collected.
	 * @param process the process
	 * @return bytes
	 * @throws IOException if the JVM does not respond
	 * @throws InterruptedException when interrupted
	 */
	public static long heapBytes(LaunchedProcess process) throws IOException, InterruptedException {
		String text = runJcmd(process, "GC.heap_info");
		long used = 0;
		for (String line : text.split("\n")) {
			Matcher matcher = HEAP_USED_PATTERN.matcher(line);
			if (!line.contains("Metaspace") && matcher.find()) {
				used += Long.parseLong(matcher.group(1)) * 1024;
			}
		}
		return used;
	}

	private static String runJcmd(LaunchedProcess process, String command) throws IOException, InterruptedException {
		Path jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd");
		Process running = new ProcessBuilder(jcmd.toString(), Long.toString(process.pid()), command)
			.redirectErrorStream(true)
			.start();
		String text = new String(running.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		if (running.waitFor() != 0) {
			throw new IOException("jcmd " + command + " for " + process.name() + ": " + text);
		}
		return text;
	}

	/**
	 * Returns the CPU time used since an earlier reading.
	 * @param earlier the earlier reading
	 * @return seconds
	 */
	public double cpuSecondsSince(ProcessUsage earlier) {
		return (this.cpuNanos - earlier.cpuNanos) / 1e9;
	}

	/**
	 * Returns the time since an earlier reading.
	 * @param earlier the earlier reading
	 * @return seconds
	 */
	public double secondsSince(ProcessUsage earlier) {
		return (this.readNanos - earlier.readNanos) / 1e9;
	}

	/**
	 * Returns the average number of cores used since an earlier reading.
	 * @param earlier the earlier reading
	 * @return the number of cores, 1 for one fully used core
	 */
	public double coresSince(ProcessUsage earlier) {
		return cpuSecondsSince(earlier) / secondsSince(earlier);
	}

	/**
	 * Returns the bytes read and written per second since an earlier reading.
	 * @param earlier the earlier reading
	 * @return bytes per second
	 */
	public double ioBytesPerSecondSince(ProcessUsage earlier) {
		return (this.ioBytes - earlier.ioBytes) / secondsSince(earlier);
	}

}
