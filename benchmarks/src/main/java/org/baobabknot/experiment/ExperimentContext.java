package org.baobabknot.experiment;

import java.io.PrintStream;

/**
 * Process launcher and progress output of an experiment.
 *
 * @param launcher starts processes and ends them after the run
 * @param progress receives progress lines; standard output is reserved for the result
 */
public record ExperimentContext(ProcessLauncher launcher, PrintStream progress) {

	/**
	 * Prints a progress line.
	 * @param format a format as for {@link String#format}
	 * @param arguments its arguments
	 */
	public void report(String format, Object... arguments) {
		this.progress.println(String.format(format, arguments));
	}

}
