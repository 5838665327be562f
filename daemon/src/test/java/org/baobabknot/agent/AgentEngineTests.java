package org.baobabknot.agent;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.baobabknot.admission.CloseReason;
import org.baobabknot.daemon.Daemon;
import org.baobabknot.settings.Settings.TargetKind;
import org.baobabknot.standin.StandinServer;
import org.baobabknot.standin.engine.EngineSettings;
import org.baobabknot.standin.engine.EngineStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests for {@link AgentRole} in front of an engine.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class AgentEngineTests {

	private static final int COLD_LIMIT = 2;

	private static final int CAPACITY = 16;

	private static final String DIGEST = "0".repeat(64);

	private static final String PROMPT = "{\"prompt\":\"menu\",\"max_tokens\":4}";

	private final AgentFixture fixture = new AgentFixture();

	private final EngineStandin engine = new EngineStandin(
			EngineSettings.of(AgentFixture.SERVICE, "sindh").withColdStart(COLD_LIMIT, 300));

	private final StandinServer server = this.fixture.start(this.engine);

	@AfterEach
	void close() throws Exception {
		this.fixture.close();
	}

	private Daemon agent() throws Exception {
		this.engine.preload("v1", DIGEST, true);
		return this.fixture.agent("agent-1", this.server, TargetKind.ENGINE, COLD_LIMIT, CAPACITY, 200);
	}

	private static ObjectNode fault(String kind) {
		return JsonNodeFactory.instance.objectNode().put("kind", kind);
	}

	private int limit(Daemon agent) {
		return agent.node().local().load().getLimit();
	}

	/**
	 * Keeps requests open until it is stopped.
	 */
	private static final class LoadLoop {

		private final Caller caller;

		private final AtomicBoolean stopped = new AtomicBoolean();

		private final AtomicInteger whole = new AtomicInteger();

		private final AtomicInteger open = new AtomicInteger();

		private LoadLoop(Caller caller, int clients) {
			this.caller = caller;
			for (int i = 0; i < clients; i++) {
				next();
			}
		}

		private void next() {
			this.open.incrementAndGet();
			this.caller.send(Caller.completion(), PROMPT).thenAccept((answer) -> {
				if (answer.kind().equals("whole")) {
					this.whole.incrementAndGet();
				}
				this.open.decrementAndGet();
				if (!this.stopped.get() && !answer.kind().equals("lost")) {
					this.caller.connection().eventLoop().schedule(this::next, 2, TimeUnit.MILLISECONDS);
				}
			});
		}

	}

	@Nested
	class Restarts {

		// Guards against more than the cold limit on an engine that has just restarted,
		// and against an agent that does not get back to its full rate.
		@Test
		void neverGetMoreThanTheColdLimit() throws Exception {
			Daemon agent = agent();
			LoadLoop load = new LoadLoop(AgentEngineTests.this.fixture.caller(agent), 64);
			for (int restart = 0; restart < 5; restart++) {
				AgentFixture.await("the full rate is reached", () -> limit(agent) >= CAPACITY);
				AgentEngineTests.this.server.activateFault(fault("cold").put("drop", true));
				AgentFixture.sleep(250);
			}
			AgentFixture.await("the full rate is reached", () -> limit(agent) >= CAPACITY);
			load.stopped.set(true);
			ObjectNode record = AgentEngineTests.this.server.record();
			assertThat(record.path("max_running_while_cold").asInt(), lessThanOrEqualTo(COLD_LIMIT));
			assertThat(record.path("crashes").asInt(), is(0));
			assertThat(load.whole.get(), greaterThan(100));
		}

		// Guards against requests for an engine that does not answer.
		@Test
		void closeAdmissionWhileTheEngineIsGone() throws Exception {
			Daemon agent = agent();
			AgentEngineTests.this.server.activateFault(fault("outage"));
			AgentFixture.await("admission closes", () -> !agent.role().ready());
			Caller caller = AgentEngineTests.this.fixture.caller(agent);
			assertThat(caller.send(Caller.completion(), PROMPT).get().kind(), is("REFUSED_UNAVAILABLE"));
			AgentEngineTests.this.server.clearFaults(java.util.Optional.empty());
			AgentFixture.await("admission opens", () -> agent.role().ready());
		}

	}

	@Nested
	class Cancellation {

		// Guards against an engine that works for callers who are gone.
		@Test
		void endsTheRequestAtTheEngine() throws Exception {
			Daemon agent = agent();
			Caller caller = AgentEngineTests.this.fixture.caller(agent);
			caller.send(Caller.completion(), "{\"prompt\":\"menu\",\"max_tokens\":100000}");
			AgentFixture.await("the request runs", () -> AgentEngineTests.this.engine.runs().size() == 1);
			caller.close();
			AgentFixture.await("the engine is idle", () -> agent.node().local().load().getRunning() == 0);
			assertThat(AgentEngineTests.this.server.record().path("cancelled").asInt(), greaterThanOrEqualTo(1));
		}

		// Guards against a request that runs on after its deadline.
		@Test
		void followsThePassedDeadline() throws Exception {
			Daemon agent = agent();
			Caller caller = AgentEngineTests.this.fixture.caller(agent);
			Caller.Answer answer = caller
				.send(Caller.completion().setTimeoutMs(200), "{\"prompt\":\"menu\",\"max_tokens\":100000}")
				.get(20, TimeUnit.SECONDS);
			assertThat(answer.kind(), is("failed"));
			AgentFixture.await("the engine is idle", () -> agent.node().local().load().getRunning() == 0);
			assertThat(AgentEngineTests.this.server.record().path("cancelled").asInt(), greaterThanOrEqualTo(1));
		}

	}

	@Nested
	class Gate {

		// Guards against a switch of version while requests run, and against a reopened
		// gate with more than the cold limit.
		@Test
		void drainsAndReopensAtTheColdLimit() throws Exception {
			Daemon agent = agent();
			LoadLoop load = new LoadLoop(AgentEngineTests.this.fixture.caller(agent), 64);
			AgentFixture.await("the full rate is reached", () -> limit(agent) >= CAPACITY);
			AdmissionGate gate = ((AgentRole) agent.role()).gate();
			gate.close(CloseReason.SWITCHING);
			gate.drained().get(20, TimeUnit.SECONDS);
			assertThat(gate.running(), is(0));
			AgentEngineTests.this.engine.preload("v2", DIGEST, true);
			gate.reopen(CloseReason.SWITCHING);
			AgentFixture.await("the full rate is reached", () -> limit(agent) >= CAPACITY);
			load.stopped.set(true);
			ObjectNode record = AgentEngineTests.this.server.record();
			assertThat(record.path("max_running_while_cold").asInt(), lessThanOrEqualTo(COLD_LIMIT));
			assertThat(record.path("crashes").asInt(), is(0));
		}

	}

}
