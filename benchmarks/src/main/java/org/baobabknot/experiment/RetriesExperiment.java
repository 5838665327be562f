package org.baobabknot.experiment;

import java.io.IOException;
import java.util.Map;

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
 * Lets 3 of 10 targets answer every request with an error and counts the attempts, first
 * through entry and agents, then by round robin with blind retry.
 */
final class RetriesExperiment implements Subcommand {

	private static final int TARGETS = 10;

	private static final int FAILING = 3;

	private static final int TIMEOUT_MILLIS = 2_000;

	private static final double PER_SECOND = 200;

	/**
	 * The code is compiled while it runs, which takes seconds on a busy machine.
	 */
	private static final long WARM_UP_MILLIS = 6_000;

	private static final double ATTEMPTS = 1.1;

	private static final String RULES = "workspace inn menus # experiment: callers\n";

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("seconds", "duration of each part").withRequiredArg().ofType(Integer.class).defaultsTo(8);
	}

	@Override
	public Outcome run(OptionSet options, ExperimentContext context) throws Exception {
		long millis = 1000L * (Integer) options.valueOf("seconds");
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		figures.put("targets", TARGETS).put("failing", FAILING);
		double attempts;
		try (LocalFleet fleet = fleet(); HttpCaller caller = new HttpCaller(2, TIMEOUT_MILLIS)) {
			RequestSender entry = (request) -> caller.send(fleet.entry(), request);
			load().run(entry, PER_SECOND, WARM_UP_MILLIS);
			double before = fleet.entryCounter("baobabknot_attempts");
			fail(fleet);
			LoadReport report = load().run(entry, PER_SECOND, millis);
			attempts = (fleet.entryCounter("baobabknot_attempts") - before) / report.requestCount();
			write(figures.putObject("baobabknot"), report, attempts);
		}
		try (LocalFleet fleet = fleet(); HttpCaller caller = new HttpCaller(2, TIMEOUT_MILLIS)) {
			RoundRobinSender direct = new RoundRobinSender(caller, fleet.targetAddresses());
			load().run(direct, PER_SECOND, WARM_UP_MILLIS);
			int before = direct.attempts();
			fail(fleet);
			LoadReport report = load().run(direct, PER_SECOND, millis);
			write(figures.putObject("round_robin"), report,
					(direct.attempts() - before) / (double) report.requestCount());
		}
		boolean held = attempts > 0 && attempts < ATTEMPTS;
		figures.put("held", held);
		return new Outcome(figures, held);
	}

	private static LocalFleet fleet() throws IOException {
		return new LocalFleet(TARGETS, new PlainSettings(LocalFleet.SERVICE, "d", 10, 16, 0, 0), 32, RULES);
	}

	private static void fail(LocalFleet fleet) {
		for (int i = 0; i < FAILING; i++) {
			fleet.target(i).fault(JsonNodeFactory.instance.objectNode().put("kind", "outage"));
		}
	}

	private static LocalLoad load() {
		return new LocalLoad(1, Map.of("inn", 1000), TIMEOUT_MILLIS);
	}

	private static void write(ObjectNode part, LoadReport report, double attempts) {
		part.put("sent", report.requestCount())
			.put("whole", report.count(LoadOutcome.WHOLE))
			.put("not_whole", report.requestCount() - report.count(LoadOutcome.WHOLE))
			.put("attempts_per_request", OverloadExperiment.round(attempts))
			.put("p99_ms", OverloadExperiment.round(report.latencyMillis(99)));
	}

}
