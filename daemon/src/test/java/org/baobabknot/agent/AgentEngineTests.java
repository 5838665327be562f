package org.baobabknot.agent;

import java.util.Optional;
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

	private Daemon startAgent() throws Exception {
		this.engine.preload("v1", DIGEST, true);
		return this.fixture.startAgent("agent-1", this.server, TargetKind.ENGINE, COLD_LIMIT, CAPACITY, 200);
	}

	private static ObjectNode fault(String kind) {
		return JsonNodeFactory.instance.objectNode().put("kind", kind);
	}

	private int limit(Daemon agent) {
		return agent.context().localState().load().getLimit();
	}

	/**
	 * Keeps a fixed number of requests in flight until it is stopped.
	 */
	private static final class LoadLoop {

		private final EntryClient client;

		private final AtomicBoolean stopped = new AtomicBoolean();

		private final AtomicInteger completed = new AtomicInteger();

		private final AtomicInteger inFlight = new AtomicInteger();

		private LoadLoop(EntryClient client, int requestsInFlight) {
			this.client = client;
			for (int i = 0; i < requestsInFlight; i++) {
				sendNext();
			}
		}

		private void sendNext() {
			this.inFlight.incrementAndGet();
			this.client.send(EntryClient.completion(), PROMPT).thenAccept((response) -> {
				if (response.kind().equals("whole")) {
					this.completed.incrementAndGet();
				}
				this.inFlight.decrementAndGet();
				if (!this.stopped.get() && !response.kind().equals("lost")) {
					this.client.connection().eventLoop().schedule(this::sendNext, 2, TimeUnit.MILLISECONDS);
				}
			});
		}

	}

	@Nested
	class Restarts {

		// Guards against exceeding the cold limit of an engine that has just restarted,
		// and against an agent that does not return to its full limit afterwards.
		@Test
		void neverGetMoreThanTheColdLimit() throws Exception {
			Daemon agent = startAgent();
			LoadLoop load = new LoadLoop(AgentEngineTests.this.fixture.entryClient(agent), 64);
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
			assertThat(load.completed.get(), greaterThan(100));
		}

		// Guards against sending requests to an engine that does not respond.
		@Test
		void closeAdmissionWhileTheEngineIsGone() throws Exception {
			Daemon agent = startAgent();
			AgentEngineTests.this.server.activateFault(fault("outage"));
			AgentFixture.await("admission closes", () -> !agent.role().isReady());
			EntryClient client = AgentEngineTests.this.fixture.entryClient(agent);
			assertThat(client.send(EntryClient.completion(), PROMPT).get().kind(), is("REFUSED_UNAVAILABLE"));
			AgentEngineTests.this.server.clearFaults(Optional.empty());
			AgentFixture.await("admission opens", () -> agent.role().isReady());
		}

	}

	@Nested
	class Cancellation {

		// Guards against an engine that continues to run requests whose callers have
		// disconnected.
		@Test
		void endsTheRequestAtTheEngine() throws Exception {
			Daemon agent = startAgent();
			EntryClient client = AgentEngineTests.this.fixture.entryClient(agent);
			client.send(EntryClient.completion(), "{\"prompt\":\"menu\",\"max_tokens\":100000}");
			AgentFixture.await("the request runs", () -> AgentEngineTests.this.engine.runs().size() == 1);
			client.close();
			AgentFixture.await("the engine is idle", () -> agent.context().localState().load().getRunning() == 0);
			assertThat(AgentEngineTests.this.server.record().path("cancelled").asInt(), greaterThanOrEqualTo(1));
		}

		// Guards against a request that continues to run after its deadline.
		@Test
		void happensAtTheDeadline() throws Exception {
			Daemon agent = startAgent();
			EntryClient client = AgentEngineTests.this.fixture.entryClient(agent);
			EntryClient.Response response = client
				.send(EntryClient.completion().setTimeoutMs(200), "{\"prompt\":\"menu\",\"max_tokens\":100000}")
				.get(20, TimeUnit.SECONDS);
			assertThat(response.kind(), is("failed"));
			AgentFixture.await("the engine is idle", () -> agent.context().localState().load().getRunning() == 0);
			assertThat(AgentEngineTests.this.server.record().path("cancelled").asInt(), greaterThanOrEqualTo(1));
		}

		// Guards against exceeding the cold limit of an engine that pauses.
		@Test
		void keepsTheSlotUntilASilentEngineConfirms() throws Exception {
			Daemon agent = startAgent();
			EntryClient client = AgentEngineTests.this.fixture.entryClient(agent);
			client.send(EntryClient.completion(), "{\"prompt\":\"menu\",\"max_tokens\":100000}");
			AgentFixture.await("the request runs", () -> AgentEngineTests.this.engine.runs().size() == 1);
			AgentEngineTests.this.server.activateFault(fault("freeze"));
			client.close();
			AgentFixture.sleep(1_400);
			assertThat(agent.context().localState().load().getRunning(), is(1));
			AgentEngineTests.this.server.clearFaults(Optional.empty());
			AgentFixture.await("the engine is idle", () -> agent.context().localState().load().getRunning() == 0);
		}

	}

	@Nested
	class Gate {

		// Guards against a version switch while requests run, and against exceeding the
		// cold limit after the gate has been reopened.
		@Test
		void drainsAndReopensAtTheColdLimit() throws Exception {
			Daemon agent = startAgent();
			LoadLoop load = new LoadLoop(AgentEngineTests.this.fixture.entryClient(agent), 64);
			AgentFixture.await("the full rate is reached", () -> limit(agent) >= CAPACITY);
			AdmissionGate gate = ((AgentRole) agent.role()).gate();
			gate.close(CloseReason.SWITCHING);
			gate.whenDrained().get(20, TimeUnit.SECONDS);
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
