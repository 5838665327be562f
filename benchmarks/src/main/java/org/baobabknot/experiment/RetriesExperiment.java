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
 * Makes 3 of 10 targets respond to every request with an error and counts the attempts
 * per request, first through entry and agents, then by round robin with blind retry as
 * the baseline.
 */
final class RetriesExperiment implements Subcommand {

	private static final int TARGET_COUNT = 10;

	private static final int FAILING_TARGET_COUNT = 3;

	private static final int TIMEOUT_MS = 2_000;

	private static final double REQUESTS_PER_SECOND = 200;

	/**
	 * Just-in-time compilation takes seconds on a busy machine.
	 */
	private static final long WARM_UP_MS = 6_000;

	private static final double MAX_ATTEMPTS_PER_REQUEST = 1.1;

	private static final String RULES = "workspace inn menus # experiment: callers\n";

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("seconds", "duration of each measurement in seconds")
			.withRequiredArg()
			.ofType(Integer.class)
			.defaultsTo(8);
	}

	@Override
	public ExperimentResult run(OptionSet options, ExperimentContext context) throws Exception {
		long durationMs = 1000L * (Integer) options.valueOf("seconds");
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		figures.put("targets", TARGET_COUNT).put("failing", FAILING_TARGET_COUNT);
		double attemptsPerRequest;
		try (LocalFleet fleet = startFleet(); HttpCaller caller = new HttpCaller(2, TIMEOUT_MS)) {
			RequestSender entry = (request) -> caller.send(fleet.entryAddress(), request);
			createLoad().runOpenLoop(entry, REQUESTS_PER_SECOND, WARM_UP_MS);
			double attemptsBefore = fleet.entryCounter("baobabknot_attempts");
			failTargets(fleet);
			LoadReport report = createLoad().runOpenLoop(entry, REQUESTS_PER_SECOND, durationMs);
			attemptsPerRequest = (fleet.entryCounter("baobabknot_attempts") - attemptsBefore) / report.requestCount();
			writeFigures(figures.putObject("baobabknot"), report, attemptsPerRequest);
		}
		try (LocalFleet fleet = startFleet(); HttpCaller caller = new HttpCaller(2, TIMEOUT_MS)) {
			RoundRobinSender direct = new RoundRobinSender(caller, fleet.targetAddresses());
			createLoad().runOpenLoop(direct, REQUESTS_PER_SECOND, WARM_UP_MS);
			int attemptsBefore = direct.attempts();
			failTargets(fleet);
			LoadReport report = createLoad().runOpenLoop(direct, REQUESTS_PER_SECOND, durationMs);
			writeFigures(figures.putObject("round_robin"), report,
					(direct.attempts() - attemptsBefore) / (double) report.requestCount());
		}
		boolean checkPassed = attemptsPerRequest > 0 && attemptsPerRequest < MAX_ATTEMPTS_PER_REQUEST;
		figures.put("held", checkPassed);
		return new ExperimentResult(figures, checkPassed);
	}

	private static LocalFleet startFleet() throws IOException {
		return new LocalFleet(TARGET_COUNT, new PlainSettings(LocalFleet.SERVICE, "d", 10, 16, 0, 0), 32, RULES);
	}

	private static void failTargets(LocalFleet fleet) {
		for (int i = 0; i < FAILING_TARGET_COUNT; i++) {
			fleet.target(i).activateFault(JsonNodeFactory.instance.objectNode().put("kind", "outage"));
		}
	}

	private static LocalLoad createLoad() {
		return new LocalLoad(1, Map.of("inn", 1000), TIMEOUT_MS);
	}

	private static void writeFigures(ObjectNode node, LoadReport report, double attemptsPerRequest) {
		node.put("sent", report.requestCount())
			.put("whole", report.count(LoadOutcome.WHOLE))
			.put("not_whole", report.requestCount() - report.count(LoadOutcome.WHOLE))
			.put("attempts_per_request", OverloadExperiment.roundToThousandths(attemptsPerRequest))
			.put("p99_ms", OverloadExperiment.roundToThousandths(report.latencyMillis(99)));
	}

}
