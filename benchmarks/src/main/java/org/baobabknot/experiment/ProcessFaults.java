package org.baobabknot.experiment;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.baobabknot.experiment.FaultHistory.Leaving;
import org.baobabknot.experiment.FaultHistory.Shutdown;
import org.baobabknot.experiment.FaultKind.ActiveFault;

/**
 * Injects faults into entry and agent processes: kill, pause, termination and drain.
 */
final class ProcessFaults {

	/**
	 * Time for a graceful shutdown, which covers the lag of the load balancer, the
	 * longest request and a busy machine.
	 */
	private static final long EXIT_TIMEOUT_MS = 25_000;

	private ProcessFaults() {
	}

	static ActiveFault kill(FaultSite site, String instance) {
		site.fleet().process(instance).kill();
		return new ActiveFault(Set.of(instance), () -> restart(site, instance));
	}

	static ActiveFault pause(FaultSite site, String instance) {
		LaunchedProcess process = site.fleet().process(instance);
		process.signal("STOP");
		return new ActiveFault(Set.of(instance), () -> {
			process.signal("CONT");
			site.release(instance);
		});
	}

	static ActiveFault terminateEntry(FaultSite site, String entry) {
		LaunchedProcess process = site.fleet().process(entry);
		long signalledMs = System.currentTimeMillis();
		process.signal("TERM");
		return new ActiveFault(Set.of(entry), () -> {
			boolean exitedInTime = process.awaitExit(EXIT_TIMEOUT_MS);
			long exitedMs = System.currentTimeMillis();
			if (!exitedInTime) {
				process.kill();
			}
			site.history()
				.recordShutdown(new Shutdown(entry, signalledMs, exitedMs, exitedInTime ? process.exitStatus() : -1));
			restart(site, entry);
		});
	}

	static ActiveFault drain(FaultSite site, String instance, boolean byOperator) throws IOException {
		LaunchedProcess process = site.fleet().process(instance);
		boolean announced = true;
		if (byOperator) {
			announced = site.fleet().tool().run("drain", instance).exitStatus() == 0;
		}
		else {
			process.signal("TERM");
		}
		long announcedMs = announced ? System.currentTimeMillis() : Long.MAX_VALUE;
		return new ActiveFault(Set.of(instance), () -> {
			// Longer than the bound of 3 s, so that work that arrives too late is
			// observed.
			TimeUnit.MILLISECONDS.sleep(4_000);
			process.signal("TERM");
			if (!process.awaitExit(EXIT_TIMEOUT_MS)) {
				process.kill();
			}
			site.history().recordDeparture(new Leaving(instance, announcedMs, System.currentTimeMillis()));
			restart(site, instance);
		});
	}

	// A signal terminates a Java process that is still starting immediately. The instance
	// is therefore released for the next fault only when it is healthy.
	private static void restart(FaultSite site, String instance) throws IOException, InterruptedException {
		site.fleet().startProcess(instance);
		site.fleet().awaitHealthy(instance);
		site.release(instance);
	}

}
