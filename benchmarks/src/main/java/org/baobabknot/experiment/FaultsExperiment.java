package org.baobabknot.experiment;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.baobabknot.load.LoadOutcome;

/**
 * Draws faults from a seed, lets them strike a small fleet under load and checks every
 * guarantee of section 2.1 of the design page over the whole run.
 */
final class FaultsExperiment implements Subcommand {

	private static final int ENTRIES = 6;

	private static final int ENGINES = 6;

	private static final int CALLERS = 24;

	private static final long READY_MILLIS = 90_000;

	/**
	 * Load without faults before the end, in which the fleet recovers.
	 */
	private static final long SETTLE_MILLIS = 4_000;

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("seed", "seed of all choices").withRequiredArg().ofType(Long.class).defaultsTo(1L);
		parser.accepts("duration", "seconds in which faults begin")
			.withRequiredArg()
			.ofType(Integer.class)
			.defaultsTo(60);
		parser.accepts("kind", "strikes only with this kind of fault, such as entry-kill").withRequiredArg();
	}

	@Override
	public Outcome run(OptionSet options, ExperimentContext context) throws Exception {
		List<FaultKind> kinds = new ArrayList<>(List.of(FaultKind.values()));
		if (options.has("kind")) {
			kinds.removeIf((kind) -> !kind.toString().equals(options.valueOf("kind")));
		}
		if (kinds.isEmpty()) {
			throw new IOException("no such kind of fault; known: " + List.of(FaultKind.values()));
		}
		return run(context, kinds, (Long) options.valueOf("seed"), (Integer) options.valueOf("duration"));
	}

	/**
	 * Runs the experiment.
	 * @param context the launcher and the progress output
	 * @param kinds the faults to draw from
	 * @param seed the seed
	 * @param seconds time in which faults begin
	 * @return the figures
	 * @throws Exception when the fleet cannot be started or reached
	 */
	static Outcome run(ExperimentContext context, List<FaultKind> kinds, long seed, int seconds) throws Exception {
		Deployment deployment = Deployment.landshut().sized(ENTRIES, ENGINES);
		Fleet fleet = Fleet.start(context, deployment, FleetOptions.small().withSeed(seed));
		FaultRules rules = new FaultRules(context, fleet);
		if (!rules.apply()) {
			throw new IOException("the first rules were not accepted");
		}
		FaultSite site = new FaultSite(fleet, rules, new FaultHistory(), new Random(seed));
		try (FaultLoad load = new FaultLoad(fleet, seed, "faults-" + seed);
				RevisionWatch watch = new RevisionWatch(fleet)) {
			awaitReady(fleet, load);
			load.start(CALLERS);
			TimeUnit.SECONDS.sleep(1);
			int faults = new FaultSequence(context, site, kinds).run(TimeUnit.SECONDS.toMillis(seconds));
			TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
			load.stop();
			return check(context, site, load.finished(), watch.seen(), seed, faults);
		}
	}

	private static void awaitReady(Fleet fleet, FaultLoad load)
			throws IOException, InterruptedException, TimeoutException {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MILLIS);
		String service = fleet.deployment().modelService().name();
		String digest = String.valueOf(fleet.digests().get(Fleet.FIRST_VERSION));
		while (load.readyEntries() < ENTRIES
				|| TargetRecords.read(fleet).running(service, Fleet.FIRST_VERSION, digest).size() < ENGINES) {
			if (System.nanoTime() - end > 0) {
				throw new TimeoutException(
						"the fleet is not ready after " + READY_MILLIS + " ms: " + load.readyEntries() + " entries");
			}
			TimeUnit.MILLISECONDS.sleep(200);
		}
	}

	private static Outcome check(ExperimentContext context, FaultSite site, List<FaultRequest> requests,
			List<RevisionWatch.Seen> seen, long seed, int faults) throws IOException, InterruptedException {
		Violations violations = new Violations();
		TargetChecks targets = new TargetChecks(site.fleet(), site.history(), violations);
		targets.read();
		targets.checkAll(site.rules(), requests);
		new CallerChecks(site.history(), violations).checkAll(requests);
		new RevisionChecks(site, violations).checkAll(site.rules().accepted(), seen, site.rules().bothAccepted());
		violations.report(context);
		for (LoadOutcome outcome : LoadOutcome.values()) {
			context.report("requests that ended %s: %d", outcome,
					requests.stream().filter((request) -> request.outcome() == outcome).count());
		}
		context.report("runs at the targets: %d, revisions seen: %d, accepted changes: %d", targets.runs(), seen.size(),
				site.rules().accepted().size());
		long unknown = requests.stream()
			.filter((request) -> request.outcome() == LoadOutcome.UNKNOWN || request.outcome() == LoadOutcome.LOST)
			.count();
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		figures.put("experiment", "faults").put("seed", seed).put("faults", faults);
		figures.put("requests", requests.size()).put("unknown", unknown);
		figures.set("violations", violations.json());
		return new Outcome(figures, violations.isEmpty());
	}

}
