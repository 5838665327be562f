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
 * Starts a deployment and shows a rollout and the outage of a failure domain under load.
 */
final class Demonstration {

	private static final String SECOND_VERSION = "v2";

	private static final long SECOND_SEED = 2;

	/**
	 * After this time no new request may begin in a failure domain taken out of service,
	 * according to the design page.
	 */
	private static final long LATE_AFTER_MS = 3_000;

	private static final long OUTAGE_MS = 6_000;

	private static final long STEADY_MS = 3_000;

	private static final long ROLLOUT_TIMEOUT_MS = 60_000;

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
	 * @throws IOException when a stand-in does not respond
	 * @throws InterruptedException when interrupted
	 */
	Summary run() throws IOException, InterruptedException {
		apply(this.rules.model(Fleet.FIRST_VERSION, this.fleet.manifestDigest(Fleet.FIRST_VERSION)));
		awaitModel(Fleet.FIRST_VERSION, System.currentTimeMillis());
		try (BackgroundLoad load = new BackgroundLoad(this.fleet)) {
			this.context.report("%d entries are ready", load.awaitReadyEntries(15_000));
			load.start();
			TimeUnit.MILLISECONDS.sleep(STEADY_MS);
			Summary.Model model = rollOut();
			TimeUnit.MILLISECONDS.sleep(STEADY_MS);
			Summary.Domain domain = takeDomainOut();
			TimeUnit.MILLISECONDS.sleep(STEADY_MS);
			load.stop();
			load.failureCounts().forEach((fault, count) -> this.context.report("%d times: %s", count, fault));
			return new Summary(load.requests(), load.orders(TargetRecords.read(this.fleet)), model, domain);
		}
	}

	// Returns the time at which the rules were accepted, in milliseconds since the epoch.
	private long apply(RulesText changed) {
		Path file = this.context.launcher().writeText("rules.txt", changed.text());
		JsonNode result = this.fleet.tool().run("apply", file.toString(), "--wait").jsonOrThrow();
		this.context.report("revision %d in force on %d processes after %d ms", result.path("revision").asLong(),
				result.path("in_force").asInt(), result.path("wait_ms").asLong());
		return result.path("accepted_at_ms").asLong();
	}

	private int awaitModel(String version, long acceptedMillis) throws IOException, InterruptedException {
		String service = this.deployment.modelService().name();
		String digest = String.valueOf(this.fleet.digests().get(version));
		int replicas = this.deployment.modelService().targets();
		int running = 0;
		while (running < replicas && System.currentTimeMillis() - acceptedMillis < ROLLOUT_TIMEOUT_MS) {
			TimeUnit.MILLISECONDS.sleep(100);
			running = TargetRecords.read(this.fleet).enginesRunning(service, version, digest).size();
		}
		this.context.report("%s on %d of %d replicas", version, running, replicas);
		return running;
	}

	private Summary.Model rollOut() throws IOException, InterruptedException {
		this.fleet.publish(SECOND_VERSION, SECOND_SEED);
		long originBytesBefore = this.fleet.readRecord("origin").path("chunk_bytes").asLong();
		long acceptedMillis = apply(this.rules.model(SECOND_VERSION, this.fleet.manifestDigest(SECOND_VERSION)));
		int replicas = awaitModel(SECOND_VERSION, acceptedMillis);
		double seconds = (System.currentTimeMillis() - acceptedMillis) / 1000.0;
		long fetchedBytes = this.fleet.readRecord("origin").path("chunk_bytes").asLong() - originBytesBefore;
		return new Summary.Model(SECOND_VERSION, replicas, this.deployment.modelService().targets(), seconds,
				fetchedBytes / (double) this.deployment.model().bytes());
	}

	private Summary.Domain takeDomainOut() throws IOException, InterruptedException {
		String domain = this.deployment.domains().get(1).name();
		long outAcceptedMillis = apply(this.rules.domain(domain, false));
		TimeUnit.MILLISECONDS.sleep(Math.max(0, outAcceptedMillis + OUTAGE_MS - System.currentTimeMillis()));
		long outEndMillis = System.currentTimeMillis();
		long backAcceptedMillis = apply(this.rules.domain(domain, true));
		TimeUnit.MILLISECONDS.sleep(STEADY_MS);
		TargetRecords records = TargetRecords.read(this.fleet);
		long lateRequests = records.startedCount(domain, outAcceptedMillis + LATE_AFTER_MS, outEndMillis);
		double outSeconds = Math.max(0,
				records.lastStartedMs(domain, outAcceptedMillis, outEndMillis) - outAcceptedMillis) / 1000.0;
		long firstBegunMillis = records.firstStartedMs(domain, backAcceptedMillis);
		return new Summary.Domain(outSeconds,
				(firstBegunMillis < 0) ? -1 : (firstBegunMillis - backAcceptedMillis) / 1000.0, lateRequests);
	}

	/**
	 * Leaves the processes running and prints commands to try.
	 */
	void keepRunning() {
		this.context.launcher().detach();
		List<String> pids = this.context.launcher()
			.processes()
			.stream()
			.filter(LaunchedProcess::isAlive)
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
