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
 * Slows down one of 8 targets and compares the 99th percentile of latency with and
 * without the slow target, first through entry and agents, then by round robin with blind
 * retry as the baseline.
 */
final class SlowExperiment implements Subcommand {

	private static final int TARGET_COUNT = 8;

	private static final int SERVICE_TIME_MS = 20;

	private static final int SLOWDOWN_MS = 200;

	private static final int TIMEOUT_MS = 5_000;

	private static final double REQUESTS_PER_SECOND = 300;

	/**
	 * Just-in-time compilation takes seconds on a busy machine.
	 */
	private static final long WARM_UP_MS = 6_000;

	/**
	 * Measurements with and without the slow target alternate, so that other load on the
	 * machine affects both alike.
	 */
	private static final int ROUNDS = 4;

	private static final double MAX_P99_RATIO = 1.3;

	private static final String RULES = "workspace inn menus # experiment: callers\n";

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("seconds", "duration of all measurements with, and of all without the slow target, in seconds")
			.withRequiredArg()
			.ofType(Integer.class)
			.defaultsTo(8);
	}

	@Override
	public ExperimentResult run(OptionSet options, ExperimentContext context) throws Exception {
		long durationMs = 1000L * (Integer) options.valueOf("seconds");
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		figures.put("targets", TARGET_COUNT).put("slow_by_ms", SLOWDOWN_MS);
		double p99Ratio;
		try (LocalFleet fleet = startFleet(); HttpCaller caller = new HttpCaller(2, TIMEOUT_MS)) {
			RequestSender entry = (request) -> caller.send(fleet.entryAddress(), request);
			p99Ratio = measure(figures.putObject("baobabknot"), fleet, entry, durationMs);
		}
		try (LocalFleet fleet = startFleet(); HttpCaller caller = new HttpCaller(2, TIMEOUT_MS)) {
			RequestSender direct = new RoundRobinSender(caller, fleet.targetAddresses());
			measure(figures.putObject("round_robin"), fleet, direct, durationMs);
		}
		figures.put("held", p99Ratio <= MAX_P99_RATIO);
		return new ExperimentResult(figures, p99Ratio <= MAX_P99_RATIO);
	}

	private static LocalFleet startFleet() throws Exception {
		return new LocalFleet(TARGET_COUNT, new PlainSettings(LocalFleet.SERVICE, "d", SERVICE_TIME_MS, 8, 0, 0), 32,
				RULES);
	}

	private static double measure(ObjectNode node, LocalFleet fleet, RequestSender sender, long durationMs) {
		LocalLoad load = new LocalLoad(1, Map.of("inn", 1000), TIMEOUT_MS);
		load.runOpenLoop(sender, REQUESTS_PER_SECOND, WARM_UP_MS);
		LoadReport withoutFault = new LoadReport();
		LoadReport withFault = new LoadReport();
		for (int round = 0; round < ROUNDS; round++) {
			load.runOpenLoop(sender, REQUESTS_PER_SECOND, durationMs / ROUNDS).samples().forEach(withoutFault::add);
			fleet.target(0)
				.activateFault(JsonNodeFactory.instance.objectNode().put("kind", "slow").put("ms", SLOWDOWN_MS));
			load.runOpenLoop(sender, REQUESTS_PER_SECOND, durationMs / ROUNDS).samples().forEach(withFault::add);
			fleet.target(0).clearFaults(Optional.empty());
		}
		double p99Ratio = withFault.latencyMillis(99) / withoutFault.latencyMillis(99);
		node.put("sent", withoutFault.requestCount() + withFault.requestCount())
			.put("not_whole",
					withoutFault.requestCount() + withFault.requestCount() - withoutFault.count(LoadOutcome.WHOLE)
							- withFault.count(LoadOutcome.WHOLE))
			.put("p99_without_ms", OverloadExperiment.roundToThousandths(withoutFault.latencyMillis(99)))
			.put("p99_slow_ms", OverloadExperiment.roundToThousandths(withFault.latencyMillis(99)))
			.put("p99_ratio", OverloadExperiment.roundToThousandths(p99Ratio));
		return p99Ratio;
	}

}
