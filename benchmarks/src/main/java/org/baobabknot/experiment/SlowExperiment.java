package org.baobabknot.experiment;

import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.baobabknot.load.HttpCaller;
import org.baobabknot.load.LoadOutcome;
import org.baobabknot.load.LoadReport;
import org.baobabknot.load.RequestSender;
import org.baobabknot.load.RoundRobinSender;
import org.baobabknot.standin.plain.PlainSettings;

/**
 * Makes one of 8 targets slow and compares the 99th percentile of latency with that
 * without it, first through entry and agents, then by round robin with blind retry.
 */
final class SlowExperiment implements Subcommand {

	private static final int TARGETS = 8;

	private static final int TIME_MILLIS = 20;

	private static final int SLOW_MILLIS = 200;

	private static final int TIMEOUT_MILLIS = 5_000;

	private static final double PER_SECOND = 300;

	/**
	 * The code is compiled while it runs, which takes seconds on a busy machine.
	 */
	private static final long WARM_UP_MILLIS = 6_000;

	/**
	 * Parts with and without the slow target alternate, so that both see the same other
	 * load on the machine.
	 */
	private static final int PARTS = 4;

	private static final double RATIO = 1.3;

	private static final String RULES = "workspace inn menus # experiment: callers\n";

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("seconds", "duration of each part").withRequiredArg().ofType(Integer.class).defaultsTo(8);
	}

	@Override
	public Outcome run(OptionSet options, ExperimentContext context) throws Exception {
		long millis = 1000L * (Integer) options.valueOf("seconds");
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		figures.put("targets", TARGETS).put("slow_by_ms", SLOW_MILLIS);
		double ratio;
		try (LocalFleet fleet = fleet(); HttpCaller caller = new HttpCaller(2, TIMEOUT_MILLIS)) {
			RequestSender entry = (request) -> caller.send(fleet.entry(), request);
			ratio = measure(figures.putObject("baobabknot"), fleet, entry, millis);
		}
		try (LocalFleet fleet = fleet(); HttpCaller caller = new HttpCaller(2, TIMEOUT_MILLIS)) {
			RequestSender direct = new RoundRobinSender(caller, fleet.targetAddresses());
			measure(figures.putObject("round_robin"), fleet, direct, millis);
		}
		figures.put("held", ratio <= RATIO);
		return new Outcome(figures, ratio <= RATIO);
	}

	private static LocalFleet fleet() throws Exception {
		return new LocalFleet(TARGETS, new PlainSettings(LocalFleet.SERVICE, "d", TIME_MILLIS, 8, 0, 0), 32, RULES);
	}

	private static double measure(ObjectNode part, LocalFleet fleet, RequestSender sender, long millis) {
		LocalLoad load = new LocalLoad(1, Map.of("inn", 1000), TIMEOUT_MILLIS);
		load.run(sender, PER_SECOND, WARM_UP_MILLIS);
		LoadReport before = new LoadReport();
		LoadReport during = new LoadReport();
		for (int round = 0; round < PARTS; round++) {
			load.run(sender, PER_SECOND, millis / PARTS).samples().forEach(before::add);
			fleet.target(0).fault(JsonNodeFactory.instance.objectNode().put("kind", "slow").put("ms", SLOW_MILLIS));
			load.run(sender, PER_SECOND, millis / PARTS).samples().forEach(during::add);
			fleet.target(0).clearFaults(Optional.empty());
		}
		double ratio = during.latencyMillis(99) / before.latencyMillis(99);
		part.put("sent", before.requestCount() + during.requestCount())
			.put("not_whole",
					before.requestCount() + during.requestCount() - before.count(LoadOutcome.WHOLE)
							- during.count(LoadOutcome.WHOLE))
			.put("p99_without_ms", OverloadExperiment.round(before.latencyMillis(99)))
			.put("p99_slow_ms", OverloadExperiment.round(during.latencyMillis(99)))
			.put("p99_ratio", OverloadExperiment.round(ratio));
		return ratio;
	}

}
