package org.baobabknot.experiment;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.baobabknot.load.HttpCaller;
import org.baobabknot.load.LoadGenerator;
import org.baobabknot.load.LoadOutcome;
import org.baobabknot.load.LoadReport;
import org.baobabknot.load.LoadRequest;
import org.baobabknot.load.ReadinessBalancer;
import org.baobabknot.load.RequestSender;
import org.baobabknot.load.RoundRobinSender;
import org.baobabknot.load.Workload;

/**
 * Takes a failure domain out of service and back under load. Its targets are switched off
 * 4 s after the change and are cold when they return. The baseline sends the same load to
 * the same targets directly, with the same timing.
 */
final class DomainExperiment implements Subcommand {

	private static final long LATE_AFTER_MS = 3_000;

	private static final long OFF_AFTER_MS = 4_000;

	private static final int TOKENS_PER_REQUEST = 10;

	private ExperimentContext context;

	private Fleet fleet;

	private RulesText rules;

	private long seed;

	private double rate;

	private long phaseMillis;

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("seed", "seed of model content and load").withRequiredArg().ofType(Long.class).defaultsTo(1L);
		parser.accepts("rate", "requests per second").withRequiredArg().ofType(Integer.class).defaultsTo(200);
		parser.accepts("phase-seconds", "length of each phase").withRequiredArg().ofType(Integer.class).defaultsTo(8);
		parser.accepts("entries", "number of entries").withRequiredArg().ofType(Integer.class).defaultsTo(6);
		parser.accepts("engines", "number of engines").withRequiredArg().ofType(Integer.class).defaultsTo(9);
	}

	@Override
	public ExperimentResult run(OptionSet options, ExperimentContext experimentContext) throws Exception {
		this.context = experimentContext;
		this.seed = (Long) options.valueOf("seed");
		this.rate = (Integer) options.valueOf("rate");
		this.phaseMillis = 1000L * (Integer) options.valueOf("phase-seconds");
		Deployment deployment = Deployment.landshut()
			.withSize((Integer) options.valueOf("entries"), (Integer) options.valueOf("engines"));
		this.fleet = Fleet.start(experimentContext, deployment,
				FleetOptions.small().withSeed(this.seed).withOptimizer());
		this.rules = new RulesText(deployment).model(Fleet.FIRST_VERSION,
				this.fleet.manifestDigest(Fleet.FIRST_VERSION));
		applyRules();
		this.fleet.tool().run("replicas", "--wait", "--wait-seconds", "60").jsonOrThrow();
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		figures.put("experiment", "domain").put("seed", this.seed).put("rate", this.rate);
		try (HttpCaller caller = new HttpCaller(2, 30_000)) {
			PassResult system = measureSystem(caller);
			system.writeTo(figures);
			PassResult baseline = measureBaseline(caller);
			baseline.writeTo(figures.putObject("baseline"));
			return new ExperimentResult(figures, system.failed() == 0 && system.lateRequests() == 0);
		}
	}

	private long applyRules() {
		Path file = this.context.launcher().writeText("rules.txt", this.rules.text());
		return this.fleet.tool().run("apply", file.toString(), "--wait").jsonOrThrow().path("accepted_at_ms").asLong();
	}

	private PassResult measureSystem(HttpCaller caller) throws IOException, InterruptedException {
		String domain = this.fleet.deployment().domains().get(1).name();
		try (ReadinessBalancer balancer = new ReadinessBalancer(caller, this.fleet.callerAddresses(), 500)) {
			TimeUnit.MILLISECONDS.sleep(2_000);
			RequestSender sender = (request) -> caller.send(balancer.nextEntry(), request);
			return measure("system", sender, "/" + modelServiceName(), domain, (inService) -> {
				this.rules.domain(domain, inService);
				return applyRules();
			});
		}
	}

	private PassResult measureBaseline(HttpCaller caller) throws IOException, InterruptedException {
		List<InetSocketAddress> targets = this.fleet.deployment()
			.instances()
			.stream()
			.filter((instance) -> instance.service().filter(Deployment.Service::engine).isPresent())
			.map((instance) -> this.fleet.targetAddress(instance.name()))
			.toList();
		TimeUnit.MILLISECONDS.sleep(3_000);
		String domain = this.fleet.deployment().domains().get(1).name();
		return measure("baseline", new RoundRobinSender(caller, targets), "", domain,
				(inService) -> System.currentTimeMillis());
	}

	private String modelServiceName() {
		return this.fleet.deployment().modelService().name();
	}

	private PassResult measure(String name, RequestSender sender, String prefix, String domain, DomainChange change)
			throws IOException, InterruptedException {
		LoadReport report = new LoadReport();
		LoadGenerator generator = new LoadGenerator(sender, report);
		Supplier<LoadRequest> source = new Workload(name, this.fleet.deployment().workspaces(), this.fleet.digests(),
				new Random(this.seed))
			.completions(modelServiceName(), TOKENS_PER_REQUEST, 0.25);
		Thread load = new Thread(() -> generator.openLoop(this.rate, TimeUnit.MINUTES.toMillis(10),
				new Random(this.seed + 1), () -> withPrefix(source.get(), prefix)), "load");
		load.setDaemon(true);
		load.start();
		try {
			return runPhases(name, report, domain, change);
		}
		finally {
			generator.stop();
			load.join();
			report.failureCounts()
				.forEach((fault, count) -> this.context.report("%s: %d times: %s", name, count, fault));
		}
	}

	private PassResult runPhases(String name, LoadReport report, String domain, DomainChange change)
			throws IOException, InterruptedException {
		// In the first seconds connections are opened and code is compiled.
		TimeUnit.MILLISECONDS.sleep(this.phaseMillis / 2);
		long startNanos = System.nanoTime();
		TimeUnit.MILLISECONDS.sleep(this.phaseMillis);
		this.context.report("%s: %s leaves", name, domain);
		long leavingNanos = System.nanoTime();
		long acceptedMillis = change.setInService(false);
		TimeUnit.MILLISECONDS.sleep(Math.max(0, acceptedMillis + OFF_AFTER_MS - System.currentTimeMillis()));
		setFault(domain, JsonNodeFactory.instance.objectNode().put("kind", "outage").put("drop", true));
		TimeUnit.MILLISECONDS.sleep(Math.max(0, acceptedMillis + this.phaseMillis - System.currentTimeMillis()));
		this.context.report("%s: %s returns", name, domain);
		long returnMillis = System.currentTimeMillis();
		for (Deployment.Instance instance : enginesIn(domain)) {
			this.fleet.clearFaults(instance.name());
		}
		setFault(domain, JsonNodeFactory.instance.objectNode().put("kind", "cold").put("drop", true));
		change.setInService(true);
		TimeUnit.MILLISECONDS.sleep(this.phaseMillis / 2);
		long returnedNanos = System.nanoTime();
		TimeUnit.MILLISECONDS.sleep(this.phaseMillis);
		long lateRequests = TargetRecords.read(this.fleet)
			.startedCount(domain, acceptedMillis + LATE_AFTER_MS, returnMillis);
		return new PassResult(report, lateRequests,
				new long[] { startNanos, leavingNanos, returnedNanos, System.nanoTime() });
	}

	private static LoadRequest withPrefix(LoadRequest request, String prefix) {
		String path = prefix + request.path().substring(request.path().indexOf('/', 1));
		return new LoadRequest(request.id(), request.kind(), request.method(), path, request.headers(), request.body(),
				request.check());
	}

	private void setFault(String domain, ObjectNode fault) throws IOException, InterruptedException {
		for (Deployment.Instance instance : enginesIn(domain)) {
			this.fleet.setFault(instance.name(), fault);
		}
	}

	private List<Deployment.Instance> enginesIn(String domain) {
		return this.fleet.deployment()
			.instances()
			.stream()
			.filter((instance) -> instance.domain().name().equals(domain))
			.filter((instance) -> instance.service().filter(Deployment.Service::engine).isPresent())
			.toList();
	}

	/**
	 * Takes the failure domain out of service or back.
	 */
	@FunctionalInterface
	private interface DomainChange {

		/**
		 * Changes whether the domain is in service.
		 * @param inService whether the domain is in service afterwards
		 * @return time of acceptance in milliseconds since the epoch
		 */
		long setInService(boolean inService);

	}

	/**
	 * Measurements of one pass, with the system or with the baseline.
	 *
	 * @param report all requests
	 * @param lateRequests requests that began in the failure domain more than 3 s after
	 * the change was accepted
	 * @param phaseNanos monotonic times, in nanoseconds, of the start, of the departure,
	 * of the load after the return and of the end
	 */
	private record PassResult(LoadReport report, long lateRequests, long[] phaseNanos) {

		int failed() {
			return this.report.count(LoadOutcome.LOST) + this.report.count(LoadOutcome.WRONG)
					+ this.report.count(LoadOutcome.UNKNOWN);
		}

		void writeTo(ObjectNode node) {
			node.put("sent", this.report.requestCount())
				.put("failed", failed())
				.put("wrong", this.report.count(LoadOutcome.WRONG))
				.put("refused", this.report.count(LoadOutcome.REFUSED))
				.put("late", this.lateRequests)
				.put("p99_ms_before", p99(0))
				.put("p99_ms_during", p99(1))
				.put("p99_ms_after", p99(2));
		}

		private double p99(int phase) {
			return this.report.startedBetween(this.phaseNanos[phase], this.phaseNanos[phase + 1]).latencyMillis(99);
		}

	}

}
