package org.baobabknot.experiment;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;

import org.baobabknot.burst.BurstExperiment;
import org.baobabknot.capacity.TablesExperiment;

/**
 * Table of the experiments. To add one, add a constant with its summary and class.
 */
public enum Subcommands {

	/** Latency added by entry and agent. */
	LATENCY("measures the latency that entry and agent add to a target", LatencyExperiment::new),

	/** A failure domain leaves and returns. */
	DOMAIN("takes a failure domain out and back under load, with a baseline in the same run", DomainExperiment::new),

	/** Requests and events per second per core. */
	THROUGHPUT("measures requests and streamed events per second per core, and memory", ThroughputExperiment::new),

	/** Growth of bytes, CPU time and heap. */
	SLOPES("measures how bytes, CPU time and heap grow with peers, load, rules and changes", SlopesExperiment::new),

	/** Starts idle processes; checks the launcher itself. */
	PROCESSES("starts N idle Java processes and ends them, to check the launcher", ProcessesExperiment::new),

	/** Checks of the guarantees under faults. */
	FAULTS("draws faults from a seed and checks every guarantee under load", FaultsExperiment::new),

	/** Cost of tables and messages for the capacity page. */
	TABLES("heap per element of each table, bytes per message, connections by fleet size", TablesExperiment::new),

	/** A new model version on N replicas under load. */
	BURST("brings a new model to N replicas under load, against the lower bound", BurstExperiment::new);

	private final String summary;

	private final Supplier<Subcommand> factory;

	Subcommands(String summary, Supplier<Subcommand> factory) {
		this.summary = summary;
		this.factory = factory;
	}

	/**
	 * Returns the name as typed on the command line.
	 * @return the name in lower case
	 */
	public String commandName() {
		return name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Returns a one-line description.
	 * @return the description
	 */
	public String summary() {
		return this.summary;
	}

	/**
	 * Creates the experiment.
	 * @return a new instance for one run
	 */
	public Subcommand create() {
		return this.factory.get();
	}

	/**
	 * Finds an experiment by its command-line name.
	 * @param name the name as typed
	 * @return the experiment, or nothing when there is none of that name
	 */
	public static Optional<Subcommands> byName(String name) {
		return Arrays.stream(values()).filter((candidate) -> candidate.commandName().equals(name)).findFirst();
	}

}
