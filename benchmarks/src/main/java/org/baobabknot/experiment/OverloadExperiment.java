package org.baobabknot.experiment;

import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.HdrHistogram.Histogram;
import org.baobabknot.load.HttpCaller;
import org.baobabknot.load.LoadOutcome;
import org.baobabknot.load.LoadReport;
import org.baobabknot.load.RequestSender;
import org.baobabknot.load.RoundRobinSender;
import org.baobabknot.load.Sample;
import org.baobabknot.standin.plain.PlainSettings;

/**
 * Sends 4 targets twice the load that they can serve, first through entry and agents,
 * then by round robin with blind retry as the baseline. The capacity is measured in the
 * same run.
 */
final class OverloadExperiment implements Subcommand {

	private static final int TARGET_COUNT = 4;

	private static final int TARGET_CAPACITY = 4;

	private static final int SERVICE_TIME_MS = 40;

	private static final int MAX_QUEUED = 8;

	private static final int TIMEOUT_MS = 1_000;

	/**
	 * Just-in-time compilation takes seconds on a busy machine.
	 */
	private static final long WARM_UP_MS = 6_000;

	private static final double MIN_GOODPUT_RATIO = 0.95;

	private static final double MAX_REFUSAL_P99_MS = 10;

	private static final double MIN_SERVED_RATIO = 0.95;

	private static final String RULES = """
			workspace large menus # experiment: floods the service
			workspace small menus # experiment: small demand
			workspace high menus priority=high # experiment: high priority
			""";

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
		PlainSettings target = new PlainSettings(LocalFleet.SERVICE, "d", SERVICE_TIME_MS, TARGET_CAPACITY, 0, 0);
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		double capacityPerSecond;
		boolean allChecksPassed;
		try (LocalFleet fleet = new LocalFleet(TARGET_COUNT, target, MAX_QUEUED, RULES);
				HttpCaller caller = new HttpCaller(2, TIMEOUT_MS)) {
			RequestSender direct = new RoundRobinSender(caller, fleet.targetAddresses());
			capacityPerSecond = createLoad(1).runClosedLoop(direct, 2 * TARGET_COUNT * TARGET_CAPACITY, durationMs / 2)
				.count(LoadOutcome.WHOLE) / (durationMs / 2000.0);
			figures.put("capacity_per_s", Math.round(capacityPerSecond));
			context.report("capacity is %.0f requests/s", capacityPerSecond);
			RequestSender entry = (request) -> caller.send(fleet.entryAddress(), request);
			createLoad(2).runOpenLoop(entry, capacityPerSecond, WARM_UP_MS);
			LoadReport report = createLoad(3).runOpenLoop(entry, 2 * capacityPerSecond, durationMs);
			allChecksPassed = writeFigures(figures.putObject("baobabknot"), report, capacityPerSecond, durationMs);
		}
		try (LocalFleet fleet = new LocalFleet(TARGET_COUNT, target, MAX_QUEUED, RULES);
				HttpCaller caller = new HttpCaller(2, TIMEOUT_MS)) {
			RoundRobinSender direct = new RoundRobinSender(caller, fleet.targetAddresses());
			LoadReport report = createLoad(3).runOpenLoop(direct, 2 * capacityPerSecond, durationMs);
			writeFigures(figures.putObject("round_robin"), report, capacityPerSecond, durationMs);
		}
		figures.put("held", allChecksPassed);
		return new ExperimentResult(figures, allChecksPassed);
	}

	private static LocalLoad createLoad(long seed) {
		Map<String, Integer> permille = new LinkedHashMap<>();
		permille.put("small", 20);
		permille.put("high", 100);
		permille.put("large", 880);
		return new LocalLoad(seed, permille, TIMEOUT_MS);
	}

	private static boolean writeFigures(ObjectNode node, LoadReport report, double capacityPerSecond, long durationMs) {
		double goodputRatio = report.count(LoadOutcome.WHOLE) / (durationMs / 1000.0) / capacityPerSecond;
		Histogram refusals = new Histogram(60_000_000, 3);
		for (Sample sample : report.samples()) {
			if (sample.outcome() == LoadOutcome.REFUSED) {
				refusals.recordValue(Math.max(0, sample.latencyNanos() / 1000));
			}
		}
		double refusalP50Ms = refusals.getValueAtPercentile(50) / 1000.0;
		double refusalP99Ms = refusals.getValueAtPercentile(99) / 1000.0;
		double smallServedRatio = servedRatio(report.ofKind("small"));
		double highServedRatio = servedRatio(report.ofKind("high"));
		node.put("sent", report.requestCount())
			.put("goodput_of_capacity", roundToThousandths(goodputRatio))
			.put("refused", report.count(LoadOutcome.REFUSED))
			.put("unknown", report.count(LoadOutcome.UNKNOWN))
			.put("lost", report.count(LoadOutcome.LOST))
			.put("refusal_p50_ms", roundToThousandths(refusalP50Ms))
			.put("refusal_p99_ms", roundToThousandths(refusalP99Ms))
			.put("small_workspace_served", roundToThousandths(smallServedRatio))
			.put("high_priority_served", roundToThousandths(highServedRatio))
			.put("large_workspace_served", roundToThousandths(servedRatio(report.ofKind("large"))))
			.put("p99_ms", roundToThousandths(report.latencyMillis(99)));
		return goodputRatio >= MIN_GOODPUT_RATIO && refusalP99Ms < MAX_REFUSAL_P99_MS
				&& smallServedRatio >= MIN_SERVED_RATIO && highServedRatio >= MIN_SERVED_RATIO;
	}

	private static double servedRatio(LoadReport report) {
		return (report.requestCount() > 0) ? report.count(LoadOutcome.WHOLE) / (double) report.requestCount() : 0;
	}

	static double roundToThousandths(double value) {
		return Math.round(value * 1000) / 1000.0;
	}

}
