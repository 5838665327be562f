package org.baobabknot.experiment;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.baobabknot.load.EntryChooser;
import org.baobabknot.load.HttpCaller;
import org.baobabknot.load.LoadGenerator;
import org.baobabknot.load.LoadOutcome;
import org.baobabknot.load.LoadReport;
import org.baobabknot.load.LoadRequest;
import org.baobabknot.load.Workload;

/**
 * Measures the CPU time and memory that one entry and one agent need per request and per
 * streamed event. The rates per core are requests or events divided by the CPU time of
 * the process, so that the load generator and the engine on the same machine do not
 * count.
 */
final class ThroughputExperiment implements Subcommand {

	private static final int TARGET_CAPACITY = 512;

	private static final int TOKENS_PER_REQUEST = 1;

	private static final int TOKENS_PER_STREAM = 100;

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("callers", "number of concurrent callers")
			.withRequiredArg()
			.ofType(Integer.class)
			.defaultsTo(64);
		parser.accepts("seconds", "duration of each measurement in seconds")
			.withRequiredArg()
			.ofType(Integer.class)
			.defaultsTo(10);
		parser.accepts("tls", "uses mutual TLS between entry and agent");
	}

	@Override
	public ExperimentResult run(OptionSet options, ExperimentContext context) throws Exception {
		int callers = (Integer) options.valueOf("callers");
		long durationMs = 1000L * (Integer) options.valueOf("seconds");
		Deployment.Service service = new Deployment.Service("engine", true, 1, TARGET_CAPACITY, TARGET_CAPACITY, 0, 1);
		FleetOptions fleetOptions = FleetOptions.small().withSize(2, 256).withOptimizer();
		Fleet fleet = Fleet.start(context, SingleTarget.deployment(service),
				options.has("tls") ? fleetOptions.withTls() : fleetOptions);
		SingleTarget.applyRules(fleet, context);
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		figures.put("experiment", "throughput").put("callers", callers).put("tls", options.has("tls"));
		figures.put("cores", Runtime.getRuntime().availableProcessors());
		writeMemory(fleet, figures.putObject("at_rest"));
		Workload workload = new Workload("throughput", List.of("one"), fleet.digests(), new Random(4));
		boolean allSucceeded = true;
		try (HttpCaller caller = new HttpCaller(3, 30_000)) {
			EntryChooser entry = EntryChooser.fixed(fleet.callerAddresses().get(0));
			allSucceeded &= measure(fleet, caller, entry, callers, durationMs,
					workload.completions("engine", TOKENS_PER_REQUEST, 0), figures.putObject("requests"));
			context.report("requests: %s", figures.path("requests"));
			allSucceeded &= measure(fleet, caller, entry, callers, durationMs,
					workload.completions("engine", TOKENS_PER_STREAM, 1), figures.putObject("streams"));
			context.report("streams: %s", figures.path("streams"));
		}
		return new ExperimentResult(figures, allSucceeded);
	}

	private static boolean measure(Fleet fleet, HttpCaller caller, EntryChooser entry, int callers, long durationMs,
			Supplier<LoadRequest> source, ObjectNode node) throws IOException, InterruptedException {
		new LoadGenerator(caller, entry, new LoadReport()).closedLoop(callers, durationMs, source);
		ProcessUsage entryBefore = ProcessUsage.of(fleet.process("entry-1"));
		ProcessUsage agentBefore = ProcessUsage.of(fleet.process("engine-1"));
		LoadReport report = new LoadReport();
		new LoadGenerator(caller, entry, report).closedLoop(callers, durationMs, source);
		ProcessUsage entryAfter = ProcessUsage.of(fleet.process("entry-1"));
		ProcessUsage agentAfter = ProcessUsage.of(fleet.process("engine-1"));
		double seconds = entryAfter.secondsSince(entryBefore);
		long events = report.samples().stream().filter((sample) -> sample.kind().equals(Workload.STREAM)).count()
				* (TOKENS_PER_STREAM + 1);
		node.put("whole", report.count(LoadOutcome.WHOLE)).put("sent", report.requestCount());
		node.put("requests_per_second", Math.round(report.requestCount() / seconds));
		node.put("events_per_second", Math.round(events / seconds));
		node.put("median_ms", report.latencyMillis(50)).put("p99_ms", report.latencyMillis(99));
		long unitCount = (events > 0) ? events : report.requestCount();
		String unit = (events > 0) ? "events" : "requests";
		node.put(unit + "_per_second_per_core_entry", Math.round(unitCount / entryAfter.cpuSecondsSince(entryBefore)));
		node.put(unit + "_per_second_per_core_agent", Math.round(unitCount / agentAfter.cpuSecondsSince(agentBefore)));
		node.put("cores_entry", roundToHundredths(entryAfter.coresSince(entryBefore)));
		node.put("cores_agent", roundToHundredths(agentAfter.coresSince(agentBefore)));
		writeMemory(fleet, node);
		return report.count(LoadOutcome.WHOLE) == report.requestCount();
	}

	private static void writeMemory(Fleet fleet, ObjectNode node) throws IOException, InterruptedException {
		for (String instance : List.of("entry-1", "engine-1")) {
			LaunchedProcess process = fleet.process(instance);
			String name = instance.startsWith("entry") ? "entry" : "agent";
			node.put(name + "_resident_mb", roundToHundredths(ProcessUsage.of(process).residentBytes() / 1e6));
			node.put(name + "_live_heap_mb", roundToHundredths(ProcessUsage.liveHeapBytes(process) / 1e6));
		}
	}

	private static double roundToHundredths(double value) {
		return Math.round(value * 100) / 100.0;
	}

}
