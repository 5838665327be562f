package org.baobabknot.experiment;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * One experiment. An instance is used for one run: {@link #declare} is called first, then
 * {@link #run} with the options parsed.
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
	 * @return the figures and whether every check held
	 * @throws Exception when the experiment could not be carried out
	 */
	ExperimentResult run(OptionSet options, ExperimentContext context) throws Exception;

}
