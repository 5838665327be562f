package org.baobabknot.experiment;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.baobabknot.experiment.FaultHistory.Leaving;
import org.baobabknot.experiment.FaultHistory.Shutdown;
import org.baobabknot.experiment.FaultKind.ActiveFault;

/**
 * Faults of entry and agent processes.
 */
final class ProcessFaults {

	/**
	 * Time for a graceful end: the balancer's lag, the longest request and a busy
	 * machine.
	 */
	private static final long END_MILLIS = 25_000;

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
		long signalled = System.currentTimeMillis();
		process.signal("TERM");
		return new ActiveFault(Set.of(entry), () -> {
			boolean ended = process.awaitExit(END_MILLIS);
			long exit = System.currentTimeMillis();
			if (!ended) {
				process.kill();
			}
			site.history().recordShutdown(new Shutdown(entry, signalled, exit, ended ? process.exitStatus() : -1));
			restart(site, entry);
		});
	}

	static ActiveFault leave(FaultSite site, String instance, boolean byOperator) throws IOException {
		LaunchedProcess process = site.fleet().process(instance);
		boolean known = true;
		if (byOperator) {
			known = site.fleet().tool().run("drain", instance).status() == 0;
		}
		else {
			process.signal("TERM");
		}
		long knownMillis = known ? System.currentTimeMillis() : Long.MAX_VALUE;
		return new ActiveFault(Set.of(instance), () -> {
			// Long enough to see work that arrives after the bound of 3 s.
			TimeUnit.MILLISECONDS.sleep(4_000);
			process.signal("TERM");
			if (!process.awaitExit(END_MILLIS)) {
				process.kill();
			}
			site.history().recordDeparture(new Leaving(instance, knownMillis, System.currentTimeMillis()));
			restart(site, instance);
		});
	}

	// A signal to a Java process that is still starting ends it at once, so the next
	// fault waits until the process is healthy.
	private static void restart(FaultSite site, String instance) throws IOException, InterruptedException {
		site.fleet().startProcess(instance);
		site.fleet().awaitHealthy(instance);
		site.release(instance);
	}

}
