package org.baobabknot.experiment;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.baobabknot.load.AgentCaller;
import org.baobabknot.load.EntryChooser;
import org.baobabknot.load.HttpCaller;
import org.baobabknot.load.LoadGenerator;
import org.baobabknot.load.LoadOutcome;
import org.baobabknot.load.LoadReport;
import org.baobabknot.load.LoadRequest;
import org.baobabknot.load.RequestSender;
import org.baobabknot.load.ResponseCheck;

/**
 * Measures the latency that an entry and an agent add to one target. Requests are sent
 * directly to the target, through the agent, and through entry and agent. The three paths
 * alternate within one run, so that other load on the machine affects all of them.
 */
final class LatencyExperiment implements Subcommand {

	private static final List<Integer> CALLER_COUNTS = List.of(1, 32, 128);

	private static final List<String> PATHS = List.of("direct", "agent", "entry");

	// Exceeds the highest number of callers (128), so that no request queues at the
	// agent.
	private static final int TARGET_CAPACITY = 512;

	private static final int WARM_UP_CALLERS = 64;

	private static final double MAX_ADDED_MEDIAN_MS = 0.5;

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("rounds", "measured rounds, each of which uses every path once")
			.withRequiredArg()
			.ofType(Integer.class)
			.defaultsTo(5);
		parser.accepts("seconds", "seconds per path and round").withRequiredArg().ofType(Integer.class).defaultsTo(2);
		parser.accepts("work-ms", "processing time of a request at the target, in milliseconds")
			.withRequiredArg()
			.ofType(Integer.class)
			.defaultsTo(1);
		parser.accepts("tls", "uses mutual TLS between entry and agent");
	}

	@Override
	public ExperimentResult run(OptionSet options, ExperimentContext context) throws Exception {
		int workMs = (Integer) options.valueOf("work-ms");
		Deployment.Service service = new Deployment.Service("echo", false, 1, TARGET_CAPACITY, TARGET_CAPACITY, 0,
				workMs);
		Deployment deployment = SingleTarget.deployment(service);
		FleetOptions fleetOptions = FleetOptions.small().withSize(2, 256).withOptimizer();
		Fleet fleet = Fleet.start(context, deployment, options.has("tls") ? fleetOptions.withTls() : fleetOptions);
		SingleTarget.applyRules(fleet, context);
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		figures.put("experiment", "latency").put("work_ms", workMs).put("tls", options.has("tls"));
		figures.put("cores", Runtime.getRuntime().availableProcessors());
		boolean allSucceeded = true;
		try (HttpCaller caller = new HttpCaller(2, 20_000)) {
			// With only one caller the processes would run interpreted code for minutes.
			measure(fleet, caller, WARM_UP_CALLERS, options, context);
			for (int callers : CALLER_COUNTS) {
				Map<String, LoadReport> reports = measure(fleet, caller, callers, options, context);
				ObjectNode node = figures.putObject("callers_" + callers);
				allSucceeded &= writeFigures(reports, node);
				context.report("%d callers: %s", callers, node);
			}
		}
		double addedMedianMs = figures.path("callers_1").path("added_median_ms").asDouble();
		figures.put("median_limit_ms", MAX_ADDED_MEDIAN_MS).put("within_limit", addedMedianMs <= MAX_ADDED_MEDIAN_MS);
		return new ExperimentResult(figures, allSucceeded);
	}

	private static Map<String, LoadReport> measure(Fleet fleet, HttpCaller caller, int callers, OptionSet options,
			ExperimentContext context) {
		Map<String, LoadReport> reports = Map.of("direct", new LoadReport(), "agent", new LoadReport(), "entry",
				new LoadReport());
		InetSocketAddress target = fleet.targetAddress("echo-1");
		int rounds = (Integer) options.valueOf("rounds");
		long durationMs = 1000L * (Integer) options.valueOf("seconds");
		Random random = new Random(3);
		for (int round = 0; round <= rounds; round++) {
			// The first round only opens the connections and is excluded from the
			// results.
			boolean counted = round > 0;
			try (RequestPaths paths = new RequestPaths(fleet, caller, target, options.has("tls"))) {
				for (String path : PATHS) {
					if (paths.has(path)) {
						LoadReport report = counted ? reports.getOrDefault(path, new LoadReport()) : new LoadReport();
						new LoadGenerator(paths.sender(path), report).closedLoop(callers, durationMs,
								requestSource(path, random));
					}
				}
			}
			context.report("%d callers, round %d of %d", callers, round, rounds);
		}
		return reports;
	}

	private static Supplier<LoadRequest> requestSource(String path, Random random) {
		String prefix = path.equals("direct") ? "" : "/echo";
		return () -> LoadRequest
			.post("1", path, prefix + "/stock", "{\"card\":" + random.nextInt(1000) + "}", ResponseCheck.NONE)
			.withHeader("X-Workspace", "one");
	}

	private static boolean writeFigures(Map<String, LoadReport> reports, ObjectNode node) {
		boolean allSucceeded = true;
		for (String path : PATHS) {
			LoadReport report = reports.getOrDefault(path, new LoadReport());
			if (report.requestCount() > 0) {
				ObjectNode entry = node.putObject(path);
				entry.put("requests", report.requestCount())
					.put("median_ms", report.latencyMillis(50))
					.put("p99_ms", report.latencyMillis(99));
				allSucceeded &= report.count(LoadOutcome.WHOLE) == report.requestCount();
			}
		}
		double directMs = node.path("direct").path("median_ms").asDouble();
		double entry = node.path("entry").path("median_ms").asDouble();
		node.put("added_median_ms", roundToMicroseconds(entry - directMs));
		node.put("added_p99_ms", roundToMicroseconds(
				node.path("entry").path("p99_ms").asDouble() - node.path("direct").path("p99_ms").asDouble()));
		if (node.has("agent")) {
			double agentMs = node.path("agent").path("median_ms").asDouble();
			ObjectNode latencyByHop = node.putObject("share_by_hop_median_ms");
			latencyByHop.put("target", roundToMicroseconds(directMs))
				.put("agent", roundToMicroseconds(agentMs - directMs))
				.put("entry", roundToMicroseconds(entry - agentMs));
		}
		return allSucceeded;
	}

	private static double roundToMicroseconds(double latencyMs) {
		return Math.round(latencyMs * 1000) / 1000.0;
	}

	/**
	 * Senders for the paths to the target. With TLS there is no direct path to the agent.
	 */
	private static final class RequestPaths implements AutoCloseable {

		private final Map<String, RequestSender> senders;

		private final AutoCloseable agentConnection;

		RequestPaths(Fleet fleet, HttpCaller caller, InetSocketAddress target, boolean tls) {
			RequestSender direct = (request) -> caller.send(target, request);
			EntryChooser entry = EntryChooser.fixed(fleet.callerAddress("entry-1"));
			RequestSender throughEntry = (request) -> caller.send(entry.nextEntry(), request);
			if (tls) {
				this.senders = Map.of("direct", direct, "entry", throughEntry);
				this.agentConnection = () -> {
				};
			}
			else {
				AgentCaller throughAgent = new AgentCaller("127.0.0.1", fleet.processPort("echo-1"));
				this.senders = Map.of("direct", direct, "entry", throughEntry, "agent", throughAgent);
				this.agentConnection = throughAgent;
			}
		}

		boolean has(String path) {
			return this.senders.containsKey(path);
		}

		RequestSender sender(String path) {
			RequestSender sender = this.senders.get(path);
			if (sender == null) {
				throw new IllegalArgumentException(path);
			}
			return sender;
		}

		@Override
		public void close() {
			try {
				this.agentConnection.close();
			}
			catch (Exception ex) {
				throw new IllegalStateException(ex);
			}
		}

	}

}
