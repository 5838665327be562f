package org.baobabknot.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.baobabknot.daemon.Daemon;
import org.baobabknot.protocol.generated.RequestStart;
import org.baobabknot.settings.Settings.TargetKind;
import org.baobabknot.standin.StandinServer;
import org.baobabknot.standin.plain.PlainSettings;
import org.baobabknot.standin.plain.PlainStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of an agent whose target states how many requests it takes.
 */
class AgentLimitTests {

	private static final int REQUESTS = 40;

	private final AgentFixture fixture = new AgentFixture();

	private final PlainStandin service = new PlainStandin(new PlainSettings(AgentFixture.SERVICE, "sindh", 5, 0, 0, 0));

	private StandinServer server;

	private EntryClient client;

	@BeforeEach
	void start() throws Exception {
		this.server = this.fixture.start(this.service);
		Daemon agent = this.fixture.startAgent("agent-1", this.server, TargetKind.PLAIN, 8, 8, 100);
		this.client = this.fixture.entryClient(agent);
	}

	@AfterEach
	void close() throws Exception {
		this.fixture.close();
	}

	private void stateLimit(String perSecond) throws Exception {
		this.server
			.activateFault(JsonNodeFactory.instance.objectNode().put("kind", "limit").put("per_second", perSecond));
		send(1, 5_000);
	}

	private List<String> send(int count, int timeoutMs) throws Exception {
		List<CompletableFuture<EntryClient.Response>> responses = new ArrayList<>();
		for (int number = 0; number < count; number++) {
			RequestStart.Builder start = EntryClient.request("GET", "/stock", "shop").setTimeoutMs(timeoutMs);
			responses.add(this.client.send(start, ""));
		}
		List<String> kinds = new ArrayList<>();
		for (CompletableFuture<EntryClient.Response> response : responses) {
			kinds.add(response.get(20, TimeUnit.SECONDS).kind());
		}
		return kinds;
	}

	@Nested
	class Limited {

		@Test
		void requestsStartAtTheStatedRate() throws Exception {
			stateLimit("10");
			long startNanos = System.nanoTime();
			List<String> kinds = send(REQUESTS / 2, 5_000);
			long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
			assertThat(kinds.stream().filter("whole"::equals).count(), is(20L));
			assertThat(tookMs, greaterThan(1_300L));
		}

		@Test
		void whatCannotStartInTimeIsRefusedAtOnce() throws Exception {
			stateLimit("2");
			int before = AgentLimitTests.this.service.runs().size();
			long startNanos = System.nanoTime();
			List<String> kinds = send(REQUESTS, 1_000);
			assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos), lessThan(2_000L));
			assertThat(AgentLimitTests.this.service.runs().size() - before, lessThanOrEqualTo(5));
			assertThat(kinds.stream().filter("whole"::equals).count(), greaterThan(0L));
		}

	}

	@Nested
	class Lifted {

		@Test
		void requestsStartAtOnceAgain() throws Exception {
			stateLimit("2");
			AgentLimitTests.this.server.clearFaults(Optional.empty());
			send(1, 5_000);
			long startNanos = System.nanoTime();
			assertThat(send(REQUESTS, 5_000).stream().filter("whole"::equals).count(), is((long) REQUESTS));
			assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos), lessThan(2_000L));
		}

	}

}
