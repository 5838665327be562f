package org.baobabknot.quickstart;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.baobabknot.experiment.Deployment;
import org.baobabknot.experiment.ExperimentContext;
import org.baobabknot.experiment.Fleet;
import org.baobabknot.experiment.FleetOptions;
import org.baobabknot.experiment.LaunchedProcess;
import org.baobabknot.experiment.RulesText;
import org.baobabknot.experiment.TargetRecords;

/**
 * Runs a deployment through a rollout and the outage of a failure domain.
 */
final class Demonstration {

	private static final String SECOND_VERSION = "v2";

	private static final long SECOND_SEED = 2;

	/** Bound of the design page for new work in a failure domain taken out. */
	private static final long LATE_AFTER_MILLIS = 3_000;

	private static final long OUT_MILLIS = 6_000;

	private static final long STEADY_MILLIS = 3_000;

	private static final long ROLLOUT_MILLIS = 60_000;

	private final ExperimentContext context;

	private final Deployment deployment;

	private final RulesText rules;

	private Fleet fleet;

	Demonstration(ExperimentContext context, Deployment deployment) throws IOException, InterruptedException {
		this.context = context;
		this.deployment = deployment;
		this.rules = new RulesText(deployment);
		context.report("starting %d entries, %d agents and the stand-ins", deployment.entries(),
				deployment.instances().size() - deployment.entries());
		this.fleet = Fleet.start(context, deployment, FleetOptions.small().withTls());
	}

	/**
	 * Runs all steps.
	 * @return the summary
	 * @throws IOException when a stand-in does not answer
	 * @throws InterruptedException when interrupted
	 */
	Summary run() throws IOException, InterruptedException {
		apply(this.rules.model(Fleet.FIRST_VERSION, this.fleet.manifestDigest(Fleet.FIRST_VERSION)));
		awaitModel(Fleet.FIRST_VERSION, System.currentTimeMillis());
		try (Callers callers = new Callers(this.fleet)) {
			this.context.report("%d entries are ready", callers.awaitReady(15_000));
			callers.start();
			TimeUnit.MILLISECONDS.sleep(STEADY_MILLIS);
			Summary.Model model = rollOut();
			TimeUnit.MILLISECONDS.sleep(STEADY_MILLIS);
			Summary.Domain domain = takeDomainOut();
			TimeUnit.MILLISECONDS.sleep(STEADY_MILLIS);
			callers.stop();
			callers.faults().forEach((fault, count) -> this.context.report("%d times: %s", count, fault));
			return new Summary(callers.requests(), callers.orders(TargetRecords.read(this.fleet)), model, domain);
		}
	}

	// Returns the time of acceptance in milliseconds since the epoch.
	private long apply(RulesText changed) {
		Path file = this.context.launcher().writeText("rules.txt", changed.text());
		JsonNode result = this.fleet.tool().run("apply", file.toString(), "--wait").orFail();
		this.context.report("revision %d in force on %d processes after %d ms", result.path("revision").asLong(),
				result.path("in_force").asInt(), result.path("wait_ms").asLong());
		return result.path("accepted_at_ms").asLong();
	}

	private int awaitModel(String version, long acceptedMillis) throws IOException, InterruptedException {
		String service = this.deployment.modelService().name();
		String digest = String.valueOf(this.fleet.digests().get(version));
		int wanted = this.deployment.modelService().targets();
		int running = 0;
		while (running < wanted && System.currentTimeMillis() - acceptedMillis < ROLLOUT_MILLIS) {
			TimeUnit.MILLISECONDS.sleep(100);
			running = TargetRecords.read(this.fleet).running(service, version, digest).size();
		}
		this.context.report("%s on %d of %d replicas", version, running, wanted);
		return running;
	}

	private Summary.Model rollOut() throws IOException, InterruptedException {
		this.fleet.publish(SECOND_VERSION, SECOND_SEED);
		long before = this.fleet.readRecord("origin").path("chunk_bytes").asLong();
		long accepted = apply(this.rules.model(SECOND_VERSION, this.fleet.manifestDigest(SECOND_VERSION)));
		int replicas = awaitModel(SECOND_VERSION, accepted);
		double seconds = (System.currentTimeMillis() - accepted) / 1000.0;
		long fetched = this.fleet.readRecord("origin").path("chunk_bytes").asLong() - before;
		return new Summary.Model(SECOND_VERSION, replicas, this.deployment.modelService().targets(), seconds,
				fetched / (double) this.deployment.model().bytes());
	}

	private Summary.Domain takeDomainOut() throws IOException, InterruptedException {
		String domain = this.deployment.domains().get(1).name();
		long out = apply(this.rules.domain(domain, false));
		TimeUnit.MILLISECONDS.sleep(Math.max(0, out + OUT_MILLIS - System.currentTimeMillis()));
		long end = System.currentTimeMillis();
		long back = apply(this.rules.domain(domain, true));
		TimeUnit.MILLISECONDS.sleep(STEADY_MILLIS);
		TargetRecords records = TargetRecords.read(this.fleet);
		long late = records.begun(domain, out + LATE_AFTER_MILLIS, end);
		double outSeconds = Math.max(0, records.lastBegun(domain, out, end) - out) / 1000.0;
		long first = records.firstBegun(domain, back);
		return new Summary.Domain(outSeconds, (first < 0) ? -1 : (first - back) / 1000.0, late);
	}

	/**
	 * Leaves the processes running and prints commands to try.
	 */
	void keep() {
		this.context.launcher().detach();
		List<String> pids = this.context.launcher()
			.processes()
			.stream()
			.filter(LaunchedProcess::alive)
			.map((process) -> Long.toString(process.pid()))
			.toList();
		String tool = "bin/baobabknotctl %s --settings " + this.fleet.tool().settings();
		this.context.report("The processes keep running. Try:");
		for (String command : List.of("show", "status", "replicas", "timeline", "history")) {
			this.context.report("  " + tool, command);
		}
		this.context.report(
				"  curl -s -H 'X-Workspace: %s' -d '{\"prompt\":\"menu\",\"max_tokens\":8}' "
						+ "http://127.0.0.1:%d/%s/v1/completions",
				this.deployment.workspaces().get(0), this.fleet.callerAddress("entry-1").getPort(),
				this.deployment.modelService().name());
		this.context.report("End them with: kill %s", String.join(" ", pids));
	}

}
