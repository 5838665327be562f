package org.baobabknot.experiment;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * An experiment that can be run from the command line. Each object is used for one run:
 * {@link #declare} is called first, then {@link #run} with the parsed options.
 */
public interface Subcommand {

	/**
	 * Declares the options of this experiment.
	 * @param parser the parser to add options to
	 */
	void declare(OptionParser parser);

	/**
	 * Runs the experiment.
	 * @param options the parsed options
	 * @param context the launcher and the progress output
	 * @return the figures and whether every check passed
	 * @throws Exception if the experiment could not be completed
	 */
	ExperimentResult run(OptionSet options, ExperimentContext context) throws Exception;

}
