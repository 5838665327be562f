package org.baobabknot.burst;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.baobabknot.experiment.Deployment;
import org.baobabknot.experiment.ExperimentContext;
import org.baobabknot.experiment.ExperimentResult;
import org.baobabknot.experiment.Fleet;
import org.baobabknot.experiment.FleetOptions;
import org.baobabknot.experiment.LinePlot;
import org.baobabknot.experiment.ProcessUsage;
import org.baobabknot.experiment.RulesText;
import org.baobabknot.experiment.Subcommand;
import org.baobabknot.load.HttpCaller;
import org.baobabknot.load.LoadGenerator;
import org.baobabknot.load.LoadOutcome;
import org.baobabknot.load.LoadReport;
import org.baobabknot.load.ReadinessBalancer;
import org.baobabknot.load.Workload;

/**
 * Measures the distribution of a new model version to N replicas under live requests.
 */
public final class BurstExperiment implements Subcommand {

	private static final String SECOND_VERSION = "v2";

	/**
	 * Required limits: multiple of the lower bound, model copies over the links, and
	 * ratio of the p99 latency in the burst to that before it.
	 */
	private static final double MAX_BOUND_RATIO = 1.4;

	private static final double MAX_ORIGIN_COPIES = 1.2;

	private static final double MAX_ORIGIN_COPIES_UNDER_FAULTS = 2;

	private static final double MAX_REGION_COPIES = 1.1;

	private static final double MAX_P99_RATIO = 1.2;

	private static final int TOKENS = 10;

	private static final long SETTLE_MS = 5_000;

	private static final int TIMEOUT_FACTOR = 5;

	private ExperimentContext context;

	private BurstPlan plan;

	private BurstFault fault;

	private Fleet fleet;

	private RulesText rules;

	private long seed;

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("replicas", "replicas of the model service")
			.withRequiredArg()
			.ofType(Integer.class)
			.defaultsTo(30);
		parser.accepts("entries", "number of entries").withRequiredArg().ofType(Integer.class).defaultsTo(6);
		parser.accepts("seed", "seed of model content and load").withRequiredArg().ofType(Long.class).defaultsTo(1L);
		parser.accepts("allowed-seconds", "time in which the origin's link carries four copies")
			.withRequiredArg()
			.ofType(Integer.class)
			.defaultsTo(24);
		parser.accepts("model-kib", "size of the model in KiB")
			.withRequiredArg()
			.ofType(Integer.class)
			.defaultsTo(2048);
		parser.accepts("load-ms", "time of an engine to load weights")
			.withRequiredArg()
			.ofType(Integer.class)
			.defaultsTo(500);
		parser.accepts("rate", "live requests per second").withRequiredArg().ofType(Integer.class).defaultsTo(60);
		parser.accepts("fault", "none, fetcher, region or corrupt").withRequiredArg().defaultsTo("none");
		parser.accepts("baseline", "measures replicas that all fetch from the origin as well");
		parser.accepts("baseline-seconds", "longest time of the baseline")
			.withRequiredArg()
			.ofType(Integer.class)
			.defaultsTo(30);
		parser.accepts("hosted", "runs all agents but the first in one process");
		parser.accepts("plot", "file for the plot of replicas over time").withRequiredArg();
	}

	@Override
	public ExperimentResult run(OptionSet options, ExperimentContext context) throws Exception {
		this.context = context;
		this.seed = (Long) options.valueOf("seed");
		this.fault = BurstFault.byName((String) options.valueOf("fault"));
		this.plan = BurstPlan.of((Integer) options.valueOf("replicas"), (Integer) options.valueOf("entries"),
				(Integer) options.valueOf("allowed-seconds"), (Integer) options.valueOf("model-kib") << 10,
				(Integer) options.valueOf("load-ms"));
		Deployment deployment = this.plan.deployment();
		FleetOptions fleetOptions = FleetOptions.small().withSeed(this.seed);
		this.fleet = Fleet.start(context, deployment,
				options.has("hosted") ? fleetOptions.withHostedPeers() : fleetOptions);
		this.rules = new RulesText(deployment).allowedOut(this.plan.maxOutPerDomain());
		applyVersion(Fleet.FIRST_VERSION);
		BurstMonitor firstMonitor = new BurstMonitor(this.fleet, context);
		firstMonitor.awaitVersion(Fleet.FIRST_VERSION, this.plan.replicas(), System.currentTimeMillis(),
				timeoutMillis());
		double controlBytesPerSecond = controlBytesPerSecond();
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		figures.put("experiment", "burst").put("replicas", this.plan.replicas()).put("seed", this.seed);
		figures.put("fault", this.fault.name().toLowerCase(Locale.ROOT));
		BurstMonitor monitor = new BurstMonitor(this.fleet, context);
		boolean targetsMet = measureBurst((Integer) options.valueOf("rate"), monitor, figures);
		figures.put("control_bytes_per_second", Math.round(controlBytesPerSecond));
		if (options.has("plot")) {
			Files.writeString(Path.of((String) options.valueOf("plot")),
					new LinePlot("Replicas running the new version", "seconds since acceptance", "replicas")
						.add("measured", monitor.readyOverTime())
						.toSvg());
		}
		if (options.has("baseline")) {
			measureBaseline((Integer) options.valueOf("baseline-seconds"), figures.putObject("baseline"));
		}
		return new ExperimentResult(figures, targetsMet);
	}

	private boolean measureBurst(double rate, BurstMonitor monitor, ObjectNode figures)
			throws IOException, InterruptedException {
		this.fleet.publish(SECOND_VERSION, this.seed + 1);
		this.fleet.manifestDigest(SECOND_VERSION);
		LoadReport report = new LoadReport();
		try (HttpCaller caller = new HttpCaller(2, 30_000);
				ReadinessBalancer balancer = new ReadinessBalancer(caller, this.fleet.callerAddresses(), 500)) {
			LoadGenerator generator = new LoadGenerator((request) -> caller.send(balancer.nextEntry(), request),
					report);
			Thread load = startLoad(generator, rate);
			long boundMillis = (long) (this.plan.boundSeconds() * 1000);
			// In the first seconds connections are opened and code is compiled.
			TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
			long steadyStartNanos = System.nanoTime();
			Map<String, Long> inboundBeforeSteady = monitor.inboundBytes();
			TimeUnit.MILLISECONDS.sleep(boundMillis);
			Map<String, Long> steadyInboundBytes = difference(monitor.inboundBytes(), inboundBeforeSteady);
			long originBytesBefore = monitor.originBytes();
			Map<String, Long> inboundBeforeBurst = monitor.inboundBytes();
			long burstStartNanos = System.nanoTime();
			long acceptedMillis = applyVersion(SECOND_VERSION);
			this.fault.inject(this.fleet, this.context);
			int readyReplicas = monitor.awaitVersion(SECOND_VERSION, this.plan.replicas() - this.fault.lostReplicas(),
					acceptedMillis, timeoutMillis());
			long burstEndNanos = System.nanoTime();
			double seconds = (System.currentTimeMillis() - acceptedMillis) / 1000.0;
			this.fault.clear(this.fleet);
			generator.stop();
			load.join();
			report.failureCounts().forEach((fault, count) -> this.context.report("%d times: %s", count, fault));
			double durationRatio = (burstEndNanos - burstStartNanos) / (double) (burstStartNanos - steadyStartNanos);
			Map<String, Long> burstInboundBytes = difference(monitor.inboundBytes(), inboundBeforeBurst);
			double regionCopies = burstInboundBytes.entrySet()
				.stream()
				.mapToDouble((entry) -> entry.getValue()
						- durationRatio * steadyInboundBytes.getOrDefault(entry.getKey(), 0L))
				.max()
				.orElse(0) / this.plan.modelBytes();
			figures.put("ready", readyReplicas).put("seconds", roundToThousandths(seconds));
			figures.put("bound_seconds", roundToThousandths(this.plan.boundSeconds()));
			figures.put("bound_ratio", roundToThousandths(seconds / this.plan.boundSeconds()));
			figures.put("origin_copies",
					roundToThousandths((monitor.originBytes() - originBytesBefore) / (double) this.plan.modelBytes()));
			figures.put("region_copies", roundToThousandths(regionCopies));
			double burstP99 = report.startedBetween(burstStartNanos, burstEndNanos).latencyMillis(99);
			double steadyP99 = report.startedBetween(steadyStartNanos, burstStartNanos).latencyMillis(99);
			figures.put("p99_ms", roundToThousandths(burstP99)).put("p99_steady_ms", roundToThousandths(steadyP99));
			figures.put("p99_ratio", roundToThousandths(burstP99 / steadyP99));
			figures.put("requests", report.requestCount()).put("refused", report.count(LoadOutcome.REFUSED));
			figures.put("wrong", report.count(LoadOutcome.WRONG));
			figures.put("lost", report.count(LoadOutcome.LOST) + report.count(LoadOutcome.UNKNOWN));
			return checkReplicasOut(monitor, figures) && meetsTargets(figures);
		}
	}

	private boolean checkReplicasOut(BurstMonitor monitor, ObjectNode figures)
			throws IOException, InterruptedException {
		List<LoadSpan> spans = monitor.loadSpans(SECOND_VERSION);
		int maxOutInDomain = 0;
		for (Deployment.Domain domain : this.fleet.deployment().domains()) {
			maxOutInDomain = Math.max(maxOutInDomain,
					LoadSpan.maxOverlap(spans.stream().filter((span) -> span.domain().equals(domain.name())).toList()));
		}
		figures.put("max_out", LoadSpan.maxOverlap(spans)).put("allowed_out", this.plan.maxOut());
		figures.put("max_out_in_domain", maxOutInDomain).put("allowed_out_in_domain", this.plan.maxOutPerDomain());
		return maxOutInDomain <= this.plan.maxOutPerDomain();
	}

	private boolean meetsTargets(ObjectNode figures) {
		double maxOriginCopies = (this.fault == BurstFault.NONE) ? MAX_ORIGIN_COPIES : MAX_ORIGIN_COPIES_UNDER_FAULTS;
		boolean servedCorrectly = figures.path("ready").asInt() >= this.plan.replicas() - this.fault.lostReplicas()
				&& figures.path("wrong").asInt() == 0 && figures.path("lost").asInt() == 0;
		boolean originWithinLimit = figures.path("origin_copies").asDouble() <= maxOriginCopies;
		if (this.fault != BurstFault.NONE) {
			return servedCorrectly && originWithinLimit;
		}
		return servedCorrectly && originWithinLimit && figures.path("bound_ratio").asDouble() <= MAX_BOUND_RATIO
				&& figures.path("region_copies").asDouble() <= MAX_REGION_COPIES
				&& figures.path("p99_ratio").asDouble() <= MAX_P99_RATIO;
	}

	private Thread startLoad(LoadGenerator generator, double rate) {
		Workload workload = new Workload("burst", this.fleet.deployment().workspaces(), this.fleet.digests(),
				new Random(this.seed));
		String service = this.fleet.deployment().modelService().name();
		Thread load = new Thread(() -> generator.openLoop(rate, TimeUnit.MINUTES.toMillis(10),
				new Random(this.seed + 1), workload.completions(service, TOKENS, 0.25)), "load");
		load.setDaemon(true);
		load.start();
		return load;
	}

	private long applyVersion(String version) {
		this.rules.model(version, this.fleet.manifestDigest(version));
		Path file = this.context.launcher().writeText("rules.txt", this.rules.text());
		return this.fleet.tool().run("apply", file.toString()).jsonOrThrow().path("accepted_at_ms").asLong();
	}

	// Measured without requests: entries and agents then exchange only control messages.
	private double controlBytesPerSecond() throws IOException, InterruptedException {
		TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
		String agent = this.fleet.deployment().modelService().name() + "-1";
		Map<String, ProcessUsage> before = new HashMap<>();
		for (String instance : List.of("entry-1", agent)) {
			before.put(instance, ProcessUsage.of(this.fleet.process(instance)));
		}
		TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
		double maxRate = 0;
		for (Map.Entry<String, ProcessUsage> entry : before.entrySet()) {
			double rate = ProcessUsage.of(this.fleet.process(entry.getKey())).ioBytesPerSecondSince(entry.getValue());
			this.context.report("%s at rest: %.0f bytes/s", entry.getKey(), rate);
			maxRate = Math.max(maxRate, rate);
		}
		return maxRate;
	}

	private void measureBaseline(int limitSeconds, ObjectNode figures) throws InterruptedException {
		URI url = URI.create(this.fleet.originUrl());
		String path = "/v1/models/" + this.fleet.deployment().modelService().name() + "/" + SECOND_VERSION;
		OriginBaseline.Result result = new OriginBaseline(new InetSocketAddress(url.getHost(), url.getPort()), path,
				this.plan.modelBytes() / this.plan.chunkBytes())
			.run(this.plan.replicas(), this.plan.modelBytes(), limitSeconds * 1000L);
		figures.put("replicas_whole", result.completeReplicas())
			.put("origin_copies", roundToThousandths(result.copies()))
			.put("seconds", roundToThousandths(result.seconds()))
			.put("projected_seconds", roundToThousandths(result.projectedSeconds()))
			.put("projected_bound_ratio", roundToThousandths(result.projectedSeconds() / this.plan.boundSeconds()));
	}

	private long timeoutMillis() {
		return (long) (this.plan.boundSeconds() * 1000 * TIMEOUT_FACTOR) + 30_000;
	}

	private static Map<String, Long> difference(Map<String, Long> later, Map<String, Long> earlier) {
		Map<String, Long> result = new HashMap<>();
		later.forEach((name, bytes) -> result.put(name, bytes - earlier.getOrDefault(name, 0L)));
		return result;
	}

	private static double roundToThousandths(double value) {
		return Math.round(value * 1000) / 1000.0;
	}

}
