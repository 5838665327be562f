package org.baobabknot.experiment;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;

import org.baobabknot.burst.BurstExperiment;
import org.baobabknot.capacity.TablesExperiment;
import org.baobabknot.fuzz.FuzzExperiment;
import org.baobabknot.restore.RestoreExperiment;
import org.baobabknot.soak.LimitsExperiment;
import org.baobabknot.soak.SoakExperiment;
import org.baobabknot.stops.StopsExperiment;

/**
 * The available experiments. A new experiment needs a constant here with its summary and
 * class.
 */
public enum Subcommands {

	/** Latency added by entry and agent. */
	LATENCY("measures the latency that entry and agent add to a target", LatencyExperiment::new),

	/** Processor time and memory of a gateway and two loaders. */
	FOOTPRINT("measures processor time and memory of a gateway and loaders on the emulated platform",
			FootprintExperiment::new),

	/** Effects of taking a failure domain out of service and back. */
	DOMAIN("takes a failure domain out and back under load, with a baseline in the same run", DomainExperiment::new),

	/** Requests and streamed events per second per core. */
	THROUGHPUT("measures requests and streamed events per second per core, and memory", ThroughputExperiment::new),

	/** Growth of network bytes, CPU time and heap. */
	SLOPES("measures how bytes, CPU time and heap grow with peers, load, rules and changes", SlopesExperiment::new),

	/** Starts and stops idle processes to check the launcher. */
	PROCESSES("starts N idle Java processes and ends them, to check the launcher", ProcessesExperiment::new),

	/** Checks of the guarantees under randomly drawn faults. */
	FAULTS("draws faults from a seed and checks every guarantee under load", FaultsExperiment::new),

	/** Gateways under overlapping faults. */
	SOAK("runs gateways under load and overlapping faults drawn from a seed, and checks the rules",
			SoakExperiment::new),

	/** Limits that engines state. */
	LIMITS("lets engines state limits and counts what they get from all gateways", LimitsExperiment::new),

	/** A store that comes back from a copy. */
	RESTORE("restores the store from an older copy and measures when gateways serve what is in force",
			RestoreExperiment::new),

	/** Stops of gateways under load. */
	STOPS("stops gateways under load and counts what their callers get", StopsExperiment::new),

	/** Mutated answers at the HTTP client. */
	FUZZ("feeds mutated answers to the HTTP client, whole and in parts, and compares", FuzzExperiment::new),

	/** Goodput and refusals at twice the capacity. */
	OVERLOAD("loads targets with twice their capacity, with a baseline in the same run", OverloadExperiment::new),

	/** Attempts per request while some targets fail. */
	RETRIES("counts attempts while 30% of the targets fail, with a baseline in the same run", RetriesExperiment::new),

	/** Latency with one slow target. */
	SLOW("compares latency with and without one slow target of 8, with a baseline in the same run",
			SlowExperiment::new),

	/** Sizes of tables and messages for the capacity page. */
	TABLES("heap per element of each table, bytes per message, connections by fleet size", TablesExperiment::new),

	/** Distribution of a new model version to N replicas under load. */
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
	 * @return the experiment, or empty if there is none of that name
	 */
	public static Optional<Subcommands> byName(String name) {
		return Arrays.stream(values()).filter((candidate) -> candidate.commandName().equals(name)).findFirst();
	}

}
