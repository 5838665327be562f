package org.baobabknot.experiment;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.baobabknot.load.LoadOutcome;

/**
 * Injects random faults, drawn from a seed, into a small fleet under load and checks
 * every guarantee of section 2.1 of the design page over the whole run.
 */
final class FaultsExperiment implements Subcommand {

	private static final int ENTRIES = 6;

	private static final int ENGINES = 6;

	/**
	 * Time under load without faults at the end of the run, in which the fleet recovers.
	 */
	private static final long RECOVERY_MS = 4_000;

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("seed", "seed of all choices").withRequiredArg().ofType(Long.class).defaultsTo(1L);
		parser.accepts("duration", "seconds in which faults begin")
			.withRequiredArg()
			.ofType(Integer.class)
			.defaultsTo(60);
		parser.accepts("preload", "loads the engines directly and leaves out faults of the distribution of weights");
		parser.accepts("kind", "injects only these kinds of faults, such as entry-kill,link-cut")
			.withRequiredArg()
			.withValuesSeparatedBy(',');
	}

	@Override
	public ExperimentResult run(OptionSet options, ExperimentContext context) throws Exception {
		List<FaultKind> kinds = new ArrayList<>(List.of(FaultKind.values()));
		boolean preload = options.has("preload");
		if (preload) {
			kinds.removeIf(FaultKind::needsWeightDistribution);
		}
		if (options.has("kind")) {
			kinds.removeIf((kind) -> !options.valuesOf("kind").contains(kind.toString()));
		}
		if (kinds.isEmpty()) {
			throw new IOException("no such kind of fault; known: " + List.of(FaultKind.values()));
		}
		return run(context, kinds, (Long) options.valueOf("seed"), (Integer) options.valueOf("duration"), preload);
	}

	/**
	 * Runs the experiment.
	 * @param context the launcher and the progress output
	 * @param kinds the kinds of faults to choose from
	 * @param seed the seed
	 * @param seconds time in which faults are started, in seconds
	 * @param preload whether to load the engines directly, without the agents
	 * @return the figures
	 * @throws Exception when the fleet cannot be started or reached
	 */
	static ExperimentResult run(ExperimentContext context, List<FaultKind> kinds, long seed, int seconds,
			boolean preload) throws Exception {
		try (FaultRun run = FaultRun.start(context, ENTRIES, ENGINES, seed, preload)) {
			int faults = new FaultSequence(context, run.site(), kinds).run(TimeUnit.SECONDS.toMillis(seconds));
			TimeUnit.MILLISECONDS.sleep(RECOVERY_MS);
			run.stopLoad();
			return outcome(run, seed, faults);
		}
	}

	private static ExperimentResult outcome(FaultRun run, long seed, int faults)
			throws IOException, InterruptedException {
		Violations violations = run.check();
		List<FaultRequest> requests = run.requests();
		long unknown = requests.stream()
			.filter((request) -> request.outcome() == LoadOutcome.UNKNOWN || request.outcome() == LoadOutcome.LOST)
			.count();
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		figures.put("experiment", "faults").put("seed", seed).put("faults", faults);
		figures.put("requests", requests.size()).put("unknown", unknown);
		figures.set("violations", violations.json());
		return new ExperimentResult(figures, violations.isEmpty());
	}

}
