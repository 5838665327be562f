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
 * Loads 4 targets with twice their capacity, first through entry and agents, then by
 * round robin with blind retry. The capacity is measured in the same run.
 */
final class OverloadExperiment implements Subcommand {

	private static final int TARGETS = 4;

	private static final int CAPACITY = 4;

	private static final int TIME_MILLIS = 40;

	private static final int QUEUED = 8;

	private static final int TIMEOUT_MILLIS = 1_000;

	/**
	 * The code is compiled while it runs, which takes seconds on a busy machine.
	 */
	private static final long WARM_UP_MILLIS = 6_000;

	private static final double GOODPUT = 0.95;

	private static final double REFUSAL_MILLIS = 10;

	private static final double SERVED = 0.95;

	private static final String RULES = """
			workspace large menus # experiment: floods the service
			workspace small menus # experiment: small demand
			workspace high menus priority=high # experiment: high priority
			""";

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("seconds", "duration of each part").withRequiredArg().ofType(Integer.class).defaultsTo(8);
	}

	@Override
	public Outcome run(OptionSet options, ExperimentContext context) throws Exception {
		long millis = 1000L * (Integer) options.valueOf("seconds");
		PlainSettings target = new PlainSettings(LocalFleet.SERVICE, "d", TIME_MILLIS, CAPACITY, 0, 0);
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		double capacity;
		boolean held;
		try (LocalFleet fleet = new LocalFleet(TARGETS, target, QUEUED, RULES);
				HttpCaller caller = new HttpCaller(2, TIMEOUT_MILLIS)) {
			RequestSender direct = new RoundRobinSender(caller, fleet.targetAddresses());
			capacity = load(1).closed(direct, 2 * TARGETS * CAPACITY, millis / 2).count(LoadOutcome.WHOLE)
					/ (millis / 2000.0);
			figures.put("capacity_per_s", Math.round(capacity));
			context.report("capacity is %.0f requests/s", capacity);
			RequestSender entry = (request) -> caller.send(fleet.entry(), request);
			load(2).run(entry, capacity, WARM_UP_MILLIS);
			LoadReport report = load(3).run(entry, 2 * capacity, millis);
			held = write(figures.putObject("baobabknot"), report, capacity, millis);
		}
		try (LocalFleet fleet = new LocalFleet(TARGETS, target, QUEUED, RULES);
				HttpCaller caller = new HttpCaller(2, TIMEOUT_MILLIS)) {
			RoundRobinSender direct = new RoundRobinSender(caller, fleet.targetAddresses());
			LoadReport report = load(3).run(direct, 2 * capacity, millis);
			write(figures.putObject("round_robin"), report, capacity, millis);
		}
		figures.put("held", held);
		return new Outcome(figures, held);
	}

	private static LocalLoad load(long seed) {
		Map<String, Integer> permille = new LinkedHashMap<>();
		permille.put("small", 20);
		permille.put("high", 100);
		permille.put("large", 880);
		return new LocalLoad(seed, permille, TIMEOUT_MILLIS);
	}

	private static boolean write(ObjectNode part, LoadReport report, double capacity, long millis) {
		double goodput = report.count(LoadOutcome.WHOLE) / (millis / 1000.0) / capacity;
		Histogram refusals = new Histogram(60_000_000, 3);
		for (Sample sample : report.samples()) {
			if (sample.outcome() == LoadOutcome.REFUSED) {
				refusals.recordValue(Math.max(0, sample.latencyNanos() / 1000));
			}
		}
		double refusalP50 = refusals.getValueAtPercentile(50) / 1000.0;
		double refusalP99 = refusals.getValueAtPercentile(99) / 1000.0;
		double small = served(report.ofKind("small"));
		double high = served(report.ofKind("high"));
		part.put("sent", report.requestCount())
			.put("goodput_of_capacity", round(goodput))
			.put("refused", report.count(LoadOutcome.REFUSED))
			.put("unknown", report.count(LoadOutcome.UNKNOWN))
			.put("lost", report.count(LoadOutcome.LOST))
			.put("refusal_p50_ms", round(refusalP50))
			.put("refusal_p99_ms", round(refusalP99))
			.put("small_workspace_served", round(small))
			.put("high_priority_served", round(high))
			.put("large_workspace_served", round(served(report.ofKind("large"))))
			.put("p99_ms", round(report.latencyMillis(99)));
		return goodput >= GOODPUT && refusalP99 < REFUSAL_MILLIS && small >= SERVED && high >= SERVED;
	}

	private static double served(LoadReport report) {
		return (report.requestCount() > 0) ? report.count(LoadOutcome.WHOLE) / (double) report.requestCount() : 0;
	}

	static double round(double value) {
		return Math.round(value * 1000) / 1000.0;
	}

}
