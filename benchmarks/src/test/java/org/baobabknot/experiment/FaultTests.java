package org.baobabknot.experiment;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Injects faults into a fleet of processes under load, one at a time. After each fault
 * every guarantee of section 2.1 of the design page is checked over the whole run. The
 * engines are loaded directly; the experiment covers faults of the distribution of
 * weights.
 */
class FaultTests {

	private static final long SEED = 7;

	private static ProcessLauncher launcher;

	private static FaultRun run;

	@BeforeAll
	static void start(@TempDir Path folder) throws Exception {
		// A root without packaged jars makes the processes use the classes under test.
		launcher = new ProcessLauncher(folder);
		run = FaultRun.start(context(), 3, 3, SEED, true);
	}

	private static ExperimentContext context() {
		return new ExperimentContext(launcher, new PrintStream(System.err, true));
	}

	@AfterAll
	static void stop() {
		if (run != null) {
			run.close();
		}
		launcher.close();
	}

	private void injectAndCheck(FaultKind kind) throws Exception {
		int before = run.requests().size();
		new FaultSequence(context(), run.site(), List.of(kind)).inject(List.of(kind));
		TimeUnit.MILLISECONDS.sleep(1_500);
		assertThat(kind + " violates guarantees, see the output", run.check().isEmpty(), is(true));
		assertThat("requests continue during " + kind, run.requests().size(), greaterThan(before));
	}

	// Guards against orders that run twice or are lost when the entry that accepted
	// them is killed.
	@Test
	void entryKilled() throws Exception {
		injectAndCheck(FaultKind.ENTRY_KILL);
	}

	// Guards against orders that run again because the agent that recorded them was
	// killed.
	@Test
	void agentKilled() throws Exception {
		injectAndCheck(FaultKind.AGENT_KILL);
	}

	// Guards against requests that a resumed agent admits under outdated rules.
	@Test
	void agentPaused() throws Exception {
		injectAndCheck(FaultKind.AGENT_PAUSE);
	}

	// Guards against requests that a graceful shutdown aborts.
	@Test
	void entryTerminated() throws Exception {
		injectAndCheck(FaultKind.ENTRY_TERM);
	}

	// Guards against new requests to a target that is leaving.
	@Test
	void targetDrained() throws Exception {
		injectAndCheck(FaultKind.TARGET_DRAIN);
	}

	// Guards against full load on an engine that has just restarted.
	@Test
	void engineRestarted() throws Exception {
		injectAndCheck(FaultKind.ENGINE_RESTART);
	}

	// Guards against waiting forever on a connection that stopped delivering data.
	@Test
	void linkSilent() throws Exception {
		injectAndCheck(FaultKind.LINK_SILENT);
	}

	// Guards against keyed orders that run without a claim while the store is down.
	@Test
	void storeDown() throws Exception {
		injectAndCheck(FaultKind.STORE_OUTAGE);
	}

	// Guards against claims and rules that are treated as refused when the response
	// of the store is lost.
	@Test
	void storeAnswersLost() throws Exception {
		injectAndCheck(FaultKind.STORE_ANSWER_LOST);
	}

	// Guards against new requests in a failure domain that is out of service.
	@Test
	void domainOut() throws Exception {
		injectAndCheck(FaultKind.DOMAIN_OUT);
	}

}
