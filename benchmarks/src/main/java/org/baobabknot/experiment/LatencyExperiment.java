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
 * Measures the latency that an entry and an agent add to one target. The target is called
 * directly, through the agent, and through entry and agent, in turns of one run, so that
 * other load on the machine meets all three.
 */
final class LatencyExperiment implements Subcommand {

	private static final List<Integer> CALLERS = List.of(1, 32, 128);

	private static final List<String> PATHS = List.of("direct", "agent", "entry");

	// Requires more than the 128 callers, so that nothing queues at the agent.
	private static final int CAPACITY = 512;

	private static final int WARM_UP_CALLERS = 64;

	private static final double MEDIAN_LIMIT_MILLIS = 0.5;

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("rounds", "turns of each path").withRequiredArg().ofType(Integer.class).defaultsTo(5);
		parser.accepts("seconds", "length of a turn").withRequiredArg().ofType(Integer.class).defaultsTo(2);
		parser.accepts("work-ms", "time of a request at the target")
			.withRequiredArg()
			.ofType(Integer.class)
			.defaultsTo(1);
		parser.accepts("tls", "uses mutual TLS between entry and agent");
	}

	@Override
	public Outcome run(OptionSet options, ExperimentContext context) throws Exception {
		int work = (Integer) options.valueOf("work-ms");
		Deployment.Service service = new Deployment.Service("echo", false, 1, CAPACITY, CAPACITY, 0, work);
		Deployment deployment = SingleTarget.deployment(service);
		FleetOptions fleetOptions = FleetOptions.small().withSize(2, 256).withOptimizer();
		Fleet fleet = Fleet.start(context, deployment, options.has("tls") ? fleetOptions.withTls() : fleetOptions);
		SingleTarget.open(fleet, context);
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		figures.put("experiment", "latency").put("work_ms", work).put("tls", options.has("tls"));
		figures.put("cores", Runtime.getRuntime().availableProcessors());
		boolean held = true;
		try (HttpCaller caller = new HttpCaller(2, 20_000)) {
			// One caller alone would leave the processes interpreted for minutes.
			measure(fleet, caller, WARM_UP_CALLERS, options, context);
			for (int callers : CALLERS) {
				Map<String, LoadReport> reports = measure(fleet, caller, callers, options, context);
				ObjectNode node = figures.putObject("callers_" + callers);
				held &= write(reports, node);
				context.report("%d callers: %s", callers, node);
			}
		}
		double added = figures.path("callers_1").path("added_median_ms").asDouble();
		figures.put("median_limit_ms", MEDIAN_LIMIT_MILLIS).put("within_limit", added <= MEDIAN_LIMIT_MILLIS);
		return new Outcome(figures, held);
	}

	private static Map<String, LoadReport> measure(Fleet fleet, HttpCaller caller, int callers, OptionSet options,
			ExperimentContext context) {
		Map<String, LoadReport> reports = Map.of("direct", new LoadReport(), "agent", new LoadReport(), "entry",
				new LoadReport());
		InetSocketAddress target = fleet.targetAddress("echo-1");
		int rounds = (Integer) options.valueOf("rounds");
		long millis = 1000L * (Integer) options.valueOf("seconds");
		Random random = new Random(3);
		for (int round = 0; round <= rounds; round++) {
			// The first round opens connections and is not counted.
			boolean counted = round > 0;
			try (Paths paths = new Paths(fleet, caller, target, options.has("tls"))) {
				for (String path : PATHS) {
					if (paths.has(path)) {
						LoadReport report = counted ? reports.getOrDefault(path, new LoadReport()) : new LoadReport();
						new LoadGenerator(paths.sender(path), report).closedLoop(callers, millis,
								requests(path, random));
					}
				}
			}
			context.report("%d callers, round %d of %d", callers, round, rounds);
		}
		return reports;
	}

	private static Supplier<LoadRequest> requests(String path, Random random) {
		String prefix = path.equals("direct") ? "" : "/echo";
		return () -> LoadRequest
			.post("1", path, prefix + "/stock", "{\"card\":" + random.nextInt(1000) + "}", ResponseCheck.NONE)
			.withHeader("X-Workspace", "one");
	}

	private static boolean write(Map<String, LoadReport> reports, ObjectNode node) {
		boolean held = true;
		for (String path : PATHS) {
			LoadReport report = reports.getOrDefault(path, new LoadReport());
			if (report.requestCount() > 0) {
				ObjectNode entry = node.putObject(path);
				entry.put("requests", report.requestCount())
					.put("median_ms", report.latencyMillis(50))
					.put("p99_ms", report.latencyMillis(99));
				held &= report.count(LoadOutcome.WHOLE) == report.requestCount();
			}
		}
		double direct = node.path("direct").path("median_ms").asDouble();
		double entry = node.path("entry").path("median_ms").asDouble();
		node.put("added_median_ms", rounded(entry - direct));
		node.put("added_p99_ms",
				rounded(node.path("entry").path("p99_ms").asDouble() - node.path("direct").path("p99_ms").asDouble()));
		if (node.has("agent")) {
			double agent = node.path("agent").path("median_ms").asDouble();
			ObjectNode share = node.putObject("share_by_hop_median_ms");
			share.put("target", rounded(direct))
				.put("agent", rounded(agent - direct))
				.put("entry", rounded(entry - agent));
		}
		return held;
	}

	private static double rounded(double millis) {
		return Math.round(millis * 1000) / 1000.0;
	}

	/**
	 * The three ways to the target.
	 */
	private static final class Paths implements AutoCloseable {

		private final Map<String, RequestSender> senders;

		private final AutoCloseable agent;

		Paths(Fleet fleet, HttpCaller caller, InetSocketAddress target, boolean tls) {
			RequestSender direct = (request) -> caller.send(target, request);
			EntryChooser entry = EntryChooser.fixed(fleet.callerAddress("entry-1"));
			RequestSender whole = (request) -> caller.send(entry.nextEntry(), request);
			if (tls) {
				this.senders = Map.of("direct", direct, "entry", whole);
				this.agent = () -> {
				};
			}
			else {
				AgentCaller connected = new AgentCaller("127.0.0.1", fleet.processPort("echo-1"));
				this.senders = Map.of("direct", direct, "entry", whole, "agent", connected);
				this.agent = connected;
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
				this.agent.close();
			}
			catch (Exception ex) {
				throw new IllegalStateException(ex);
			}
		}

	}

}
