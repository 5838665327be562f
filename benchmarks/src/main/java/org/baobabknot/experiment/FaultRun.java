package org.baobabknot.experiment;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.baobabknot.load.LoadOutcome;

/**
 * Runs a small fleet under load into which faults are injected, and checks its
 * guarantees.
 */
final class FaultRun implements AutoCloseable {

	private static final FleetOptions OPTIONS = FleetOptions.small();

	private static final int CALLER_COUNT = 24;

	private static final long READY_TIMEOUT_MS = 90_000;

	private final ExperimentContext context;

	private final FaultSite site;

	private final FaultLoad load;

	private final RevisionMonitor watch;

	private FaultRun(ExperimentContext context, FaultSite site, long seed) {
		this.context = context;
		this.site = site;
		this.load = new FaultLoad(site.fleet(), seed, "faults-" + seed);
		this.watch = new RevisionMonitor(site.fleet());
	}

	/**
	 * Starts a fleet, waits until it is ready and starts the load.
	 * @param context the launcher and the progress output
	 * @param entries number of entries
	 * @param engines number of engines
	 * @param seed seed of all random choices
	 * @param preload whether to load the engines directly, so that the agents need not
	 * distribute weights
	 * @return the run
	 * @throws IOException when the fleet cannot be started or reached
	 * @throws InterruptedException when interrupted
	 * @throws TimeoutException when the fleet does not become ready
	 */
	static FaultRun start(ExperimentContext context, int entries, int engines, long seed, boolean preload)
			throws IOException, InterruptedException, TimeoutException {
		Deployment deployment = Deployment.landshut().withSize(entries, engines);
		Fleet fleet = Fleet.start(context, deployment, OPTIONS.withSeed(seed));
		if (preload) {
			EnginePreload.load(fleet, seed);
		}
		FaultRules rules = new FaultRules(context, fleet);
		if (!rules.apply()) {
			throw new IOException("the first rules were not accepted");
		}
		FaultRun run = new FaultRun(context, new FaultSite(fleet, rules, new FaultHistory(), new Random(seed)), seed);
		run.awaitReady(entries, engines);
		run.load.start(CALLER_COUNT);
		TimeUnit.SECONDS.sleep(1);
		return run;
	}

	private void awaitReady(int entries, int engines) throws IOException, InterruptedException, TimeoutException {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
		Fleet fleet = this.site.fleet();
		String service = fleet.deployment().modelService().name();
		String digest = String.valueOf(fleet.digests().get(Fleet.FIRST_VERSION));
		int loadedEngines = 0;
		while (this.load.readyEntries() < entries || loadedEngines < engines) {
			if (System.nanoTime() - deadlineNanos > 0) {
				throw new TimeoutException("not ready after " + READY_TIMEOUT_MS + " ms: " + this.load.readyEntries()
						+ " entries, " + loadedEngines + " engines");
			}
			TimeUnit.MILLISECONDS.sleep(200);
			loadedEngines = TargetRecords.read(fleet).enginesRunning(service, Fleet.FIRST_VERSION, digest).size();
		}
	}

	FaultSite site() {
		return this.site;
	}

	/**
	 * Stops the load once its requests in flight are completed.
	 */
	void stopLoad() {
		this.load.stop();
	}

	List<FaultRequest> requests() {
		return this.load.finished();
	}

	/**
	 * Checks every guarantee over the whole run so far.
	 * @return the violations
	 * @throws IOException when a target does not respond
	 * @throws InterruptedException when interrupted
	 */
	Violations check() throws IOException, InterruptedException {
		List<FaultRequest> requests = requests();
		Violations violations = new Violations();
		TargetChecks targets = new TargetChecks(this.site.fleet().digests(), this.site.history(), violations);
		targets.readRecords(this.site.fleet());
		targets.checkAll(this.site.rules().outOfServicePeriods(), requests);
		CallerChecks callers = new CallerChecks(this.site.history(), violations);
		callers.checkAll(requests);
		callers.checkRefusedConnections(this.load.refusedConnections(), OPTIONS.balancerLagMillis());
		List<RevisionMonitor.Observation> observations = this.watch.observations();
		new RevisionChecks(this.site.history(), this.site::domainOf, violations)
			.checkAll(this.site.rules().acceptedChanges(), observations, this.site.rules().doubleAcceptances());
		violations.report(this.context);
		for (LoadOutcome outcome : LoadOutcome.values()) {
			this.context.report("requests that ended %s: %d", outcome,
					requests.stream().filter((request) -> request.outcome() == outcome).count());
		}
		this.context.report("runs at the targets: %d, revisions seen: %d, accepted changes: %d", targets.runCount(),
				observations.size(), this.site.rules().acceptedChanges().size());
		return violations;
	}

	@Override
	public void close() {
		this.watch.close();
		this.load.close();
	}

}
