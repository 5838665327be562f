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
 * Brings a new model version to N replicas while live requests go on.
 */
public final class BurstExperiment implements Subcommand {

	private static final String SECOND_VERSION = "v2";

	/** Targets of the issue: multiple of the lower bound, copies and share of p99. */
	private static final double MOST_BOUND_RATIO = 1.4;

	private static final double MOST_ORIGIN_COPIES = 1.2;

	private static final double MOST_ORIGIN_COPIES_UNDER_FAULTS = 2;

	private static final double MOST_REGION_COPIES = 1.1;

	private static final double MOST_P99_RATIO = 1.2;

	private static final int TOKENS = 10;

	private static final long REST_MILLIS = 5_000;

	private static final int LIMIT_FACTOR = 5;

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
	public ExperimentResult run(OptionSet options, ExperimentContext running) throws Exception {
		this.context = running;
		this.seed = (Long) options.valueOf("seed");
		this.fault = BurstFault.byName((String) options.valueOf("fault"));
		this.plan = BurstPlan.of((Integer) options.valueOf("replicas"), (Integer) options.valueOf("entries"),
				(Integer) options.valueOf("allowed-seconds"), (Integer) options.valueOf("model-kib") << 10,
				(Integer) options.valueOf("load-ms"));
		Deployment deployment = this.plan.deployment();
		FleetOptions size = FleetOptions.small().withSeed(this.seed);
		this.fleet = Fleet.start(running, deployment, options.has("hosted") ? size.withHostedPeers() : size);
		this.rules = new RulesText(deployment).allowedOut(this.plan.outPerDomain());
		apply(Fleet.FIRST_VERSION);
		BurstWatch first = new BurstWatch(this.fleet, running);
		first.await(Fleet.FIRST_VERSION, this.plan.replicas(), System.currentTimeMillis(), limitMillis());
		double control = controlBytesPerSecond();
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		figures.put("experiment", "burst").put("replicas", this.plan.replicas()).put("seed", this.seed);
		figures.put("fault", this.fault.name().toLowerCase(Locale.ROOT));
		BurstWatch watch = new BurstWatch(this.fleet, running);
		boolean held = burst((Integer) options.valueOf("rate"), watch, figures);
		figures.put("control_bytes_per_second", Math.round(control));
		if (options.has("plot")) {
			Files.writeString(Path.of((String) options.valueOf("plot")),
					new LinePlot("Replicas running the new version", "seconds since acceptance", "replicas")
						.add("measured", watch.readyOverTime())
						.toSvg());
		}
		if (options.has("baseline")) {
			baseline((Integer) options.valueOf("baseline-seconds"), figures.putObject("baseline"));
		}
		return new ExperimentResult(figures, held);
	}

	private boolean burst(double rate, BurstWatch watch, ObjectNode figures) throws IOException, InterruptedException {
		this.fleet.publish(SECOND_VERSION, this.seed + 1);
		this.fleet.manifestDigest(SECOND_VERSION);
		LoadReport report = new LoadReport();
		try (HttpCaller caller = new HttpCaller(2, 30_000);
				ReadinessBalancer balancer = new ReadinessBalancer(caller, this.fleet.callerAddresses(), 500)) {
			LoadGenerator generator = new LoadGenerator((request) -> caller.send(balancer.next(), request), report);
			Thread load = startLoad(generator, rate);
			long boundMillis = (long) (this.plan.boundSeconds() * 1000);
			// The first seconds open connections and compile code.
			TimeUnit.MILLISECONDS.sleep(REST_MILLIS);
			long steady = System.nanoTime();
			Map<String, Long> inwardBefore = watch.inwardBytes();
			TimeUnit.MILLISECONDS.sleep(boundMillis);
			Map<String, Long> inwardSteady = difference(watch.inwardBytes(), inwardBefore);
			long originBefore = watch.originBytes();
			Map<String, Long> inwardStart = watch.inwardBytes();
			long begin = System.nanoTime();
			long accepted = apply(SECOND_VERSION);
			this.fault.inject(this.fleet, this.context);
			int ready = watch.await(SECOND_VERSION, this.plan.replicas() - this.fault.lostReplicas(), accepted,
					limitMillis());
			long end = System.nanoTime();
			double seconds = (System.currentTimeMillis() - accepted) / 1000.0;
			this.fault.end(this.fleet);
			generator.stop();
			load.join();
			report.faults().forEach((fault, count) -> this.context.report("%d times: %s", count, fault));
			double scale = (end - begin) / (double) (begin - steady);
			Map<String, Long> inward = difference(watch.inwardBytes(), inwardStart);
			double regionCopies = inward.entrySet()
				.stream()
				.mapToDouble((entry) -> entry.getValue() - scale * inwardSteady.getOrDefault(entry.getKey(), 0L))
				.max()
				.orElse(0) / this.plan.modelBytes();
			figures.put("ready", ready).put("seconds", rounded(seconds));
			figures.put("bound_seconds", rounded(this.plan.boundSeconds()));
			figures.put("bound_ratio", rounded(seconds / this.plan.boundSeconds()));
			figures.put("origin_copies",
					rounded((watch.originBytes() - originBefore) / (double) this.plan.modelBytes()));
			figures.put("region_copies", rounded(regionCopies));
			double p99 = report.between(begin, end).latencyMillis(99);
			double steadyP99 = report.between(steady, begin).latencyMillis(99);
			figures.put("p99_ms", rounded(p99)).put("p99_steady_ms", rounded(steadyP99));
			figures.put("p99_ratio", rounded(p99 / steadyP99));
			figures.put("requests", report.sent()).put("refused", report.count(LoadOutcome.REFUSED));
			figures.put("wrong", report.count(LoadOutcome.WRONG));
			figures.put("lost", report.count(LoadOutcome.LOST) + report.count(LoadOutcome.UNKNOWN));
			return checkOut(watch, figures) && held(figures);
		}
	}

	private boolean checkOut(BurstWatch watch, ObjectNode figures) throws IOException, InterruptedException {
		List<LoadSpan> spans = watch.loads(SECOND_VERSION);
		int worst = 0;
		for (Deployment.Domain domain : this.fleet.deployment().domains()) {
			worst = Math.max(worst,
					LoadSpan.mostAtOnce(spans.stream().filter((span) -> span.domain().equals(domain.name())).toList()));
		}
		figures.put("max_out", LoadSpan.mostAtOnce(spans)).put("allowed_out", this.plan.allowedOut());
		figures.put("max_out_in_domain", worst).put("allowed_out_in_domain", this.plan.outPerDomain());
		return worst <= this.plan.outPerDomain();
	}

	private boolean held(ObjectNode figures) {
		double copies = (this.fault == BurstFault.NONE) ? MOST_ORIGIN_COPIES : MOST_ORIGIN_COPIES_UNDER_FAULTS;
		boolean whole = figures.path("ready").asInt() >= this.plan.replicas() - this.fault.lostReplicas()
				&& figures.path("wrong").asInt() == 0 && figures.path("lost").asInt() == 0;
		boolean bytes = figures.path("origin_copies").asDouble() <= copies;
		if (this.fault != BurstFault.NONE) {
			return whole && bytes;
		}
		return whole && bytes && figures.path("bound_ratio").asDouble() <= MOST_BOUND_RATIO
				&& figures.path("region_copies").asDouble() <= MOST_REGION_COPIES
				&& figures.path("p99_ratio").asDouble() <= MOST_P99_RATIO;
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

	private long apply(String version) {
		this.rules.model(version, this.fleet.manifestDigest(version));
		Path file = this.context.launcher().writeText("rules.txt", this.rules.text());
		return this.fleet.tool().run("apply", file.toString()).jsonOrThrow().path("accepted_at_ms").asLong();
	}

	// Read at rest: an entry and an agent exchange nothing but control messages then.
	private double controlBytesPerSecond() throws IOException, InterruptedException {
		TimeUnit.MILLISECONDS.sleep(REST_MILLIS);
		String agent = this.fleet.deployment().modelService().name() + "-1";
		Map<String, ProcessUsage> before = new HashMap<>();
		for (String instance : List.of("entry-1", agent)) {
			before.put(instance, ProcessUsage.of(this.fleet.process(instance)));
		}
		TimeUnit.MILLISECONDS.sleep(REST_MILLIS);
		double most = 0;
		for (Map.Entry<String, ProcessUsage> entry : before.entrySet()) {
			double rate = ProcessUsage.of(this.fleet.process(entry.getKey())).ioBytesPerSecondSince(entry.getValue());
			this.context.report("%s at rest: %.0f bytes/s", entry.getKey(), rate);
			most = Math.max(most, rate);
		}
		return most;
	}

	private void baseline(int limitSeconds, ObjectNode figures) throws InterruptedException {
		URI url = URI.create(this.fleet.originUrl());
		String path = "/v1/models/" + this.fleet.deployment().modelService().name() + "/" + SECOND_VERSION;
		OriginBaseline.Result result = new OriginBaseline(new InetSocketAddress(url.getHost(), url.getPort()), path,
				this.plan.modelBytes() / this.plan.chunkBytes())
			.run(this.plan.replicas(), this.plan.modelBytes(), limitSeconds * 1000L);
		figures.put("replicas_whole", result.replicas())
			.put("origin_copies", rounded(result.copies()))
			.put("seconds", rounded(result.seconds()))
			.put("projected_seconds", rounded(result.projectedSeconds()))
			.put("projected_bound_ratio", rounded(result.projectedSeconds() / this.plan.boundSeconds()));
	}

	private long limitMillis() {
		return (long) (this.plan.boundSeconds() * 1000 * LIMIT_FACTOR) + 30_000;
	}

	private static Map<String, Long> difference(Map<String, Long> later, Map<String, Long> earlier) {
		Map<String, Long> result = new HashMap<>();
		later.forEach((name, bytes) -> result.put(name, bytes - earlier.getOrDefault(name, 0L)));
		return result;
	}

	private static double rounded(double value) {
		return Math.round(value * 1000) / 1000.0;
	}

}
