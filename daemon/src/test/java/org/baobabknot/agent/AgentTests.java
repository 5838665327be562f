package org.baobabknot.agent;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import org.baobabknot.daemon.Daemon;
import org.baobabknot.protocol.generated.RequestStart;
import org.baobabknot.record.Hash128;
import org.baobabknot.settings.Settings.TargetKind;
import org.baobabknot.standin.RunLog;
import org.baobabknot.standin.StandinServer;
import org.baobabknot.standin.plain.PlainSettings;
import org.baobabknot.standin.plain.PlainStandin;
import org.baobabknot.weights.Digests;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests for {@link AgentRole} in front of a plain service.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class AgentTests {

	private final AgentFixture fixture = new AgentFixture();

	private PlainStandin service = new PlainStandin(PlainSettings.of(AgentFixture.SERVICE, "sindh"));

	@AfterEach
	void close() throws Exception {
		this.fixture.close();
	}

	private Daemon startAgent(int responseTimeMs, int capacity, int queued) throws Exception {
		this.service = new PlainStandin(new PlainSettings(AgentFixture.SERVICE, "sindh", responseTimeMs, 0, 0, 0));
		StandinServer server = this.fixture.start(this.service);
		return this.fixture.startAgent("agent-1", server, TargetKind.PLAIN, capacity, capacity, queued);
	}

	private static ObjectNode fault(String kind) {
		return JsonNodeFactory.instance.objectNode().put("kind", kind);
	}

	private Set<String> ranIds() {
		Set<String> ids = new HashSet<>();
		this.service.runs().forEach((run) -> ids.add(run.requestId()));
		return ids;
	}

	private static String text(ByteString id) {
		return Hash128.of(id.toByteArray()).toString();
	}

	@Nested
	class Bodies {

		// Guards against bodies that are truncated or reordered, or that stall because no
		// credit is granted.
		@Test
		void passLargeBodiesWhole() throws Exception {
			EntryClient client = AgentTests.this.fixture.entryClient(startAgent(1, 4, 10));
			byte[] body = new byte[3 << 20];
			new java.util.Random(5).nextBytes(body);
			EntryClient.Response response = client
				.send(EntryClient.request("POST", "/menus", "shop"), ByteString.copyFrom(body))
				.get(20, TimeUnit.SECONDS);
			assertThat(response.kind(), is("whole"));
			assertThat(response.body(), containsString(Digests.of(body)));
		}

	}

	@Nested
	class Refusals {

		// Guards against requests that run on the target although the agent refused them
		// as not run.
		@Test
		void neverReachTheTarget() throws Exception {
			EntryClient client = AgentTests.this.fixture.entryClient(startAgent(20, 2, 10));
			List<RequestStart.Builder> sent = new ArrayList<>();
			List<CompletableFuture<EntryClient.Response>> responses = new ArrayList<>();
			for (int i = 0; i < 300; i++) {
				RequestStart.Builder start = ((i % 2) == 0) ? EntryClient.order("")
						: EntryClient.request("GET", "/stock", "shop");
				start.setTimeoutMs(((i % 3) == 0) ? 30 : 5000);
				sent.add(start);
				responses.add(client.send(start, "order " + i));
			}
			int refused = 0;
			for (int i = 0; i < responses.size(); i++) {
				String kind = responses.get(i).get(20, TimeUnit.SECONDS).kind();
				if (!kind.equals("whole") && !kind.equals("unknown") && !kind.equals("failed")) {
					refused++;
					assertThat(kind, ranIds(), not(org.hamcrest.Matchers.hasItem(text(sent.get(i).getRequestId()))));
				}
			}
			AgentFixture.sleep(100);
			assertThat(refused, greaterThan(100));
		}

		// Guards against running new requests in a failure domain that is out of service.
		@Test
		void coverFailureDomainOutOfService() throws Exception {
			Daemon agent = startAgent(1, 4, 10);
			EntryClient client = AgentTests.this.fixture.entryClient(agent);
			AgentFixture.takeDomainOut(agent, 2);
			assertThat(client.send(EntryClient.order(""), "x").get().kind(), is("REFUSED_DOMAIN_OUT"));
			assertThat(AgentTests.this.service.runs(), hasSize(0));
		}

		// Guards against serving a workspace that no rule allows.
		@Test
		void coverWorkspacesWithoutARule() throws Exception {
			EntryClient client = AgentTests.this.fixture.entryClient(startAgent(1, 4, 10));
			assertThat(client.send(EntryClient.request("GET", "/stock", "stranger"), "").get().kind(),
					is("WORKSPACE_NOT_SERVED"));
		}

		// Guards against an entry with outdated rules that treats an order as idempotent
		// and would retry it.
		@Test
		void coverOrdersMarkedAsIdempotent() throws Exception {
			EntryClient client = AgentTests.this.fixture.entryClient(startAgent(1, 4, 10));
			assertThat(client.send(EntryClient.order("").setIdempotent(true), "x").get().kind(),
					is("REFUSED_UNAVAILABLE"));
		}

		// Guards against running an order with an idempotency key while the claim cannot
		// be written to the store.
		@Test
		void coverKeysWhileTheStoreIsDown() throws Exception {
			EntryClient client = AgentTests.this.fixture.entryClient(startAgent(1, 4, 10));
			AgentTests.this.fixture.store().activateFault(fault("outage"));
			assertThat(client.send(EntryClient.order("key-1"), "x").get().kind(), is("CLAIM_UNAVAILABLE"));
			assertThat(AgentTests.this.service.runs(), hasSize(0));
			assertThat(client.send(EntryClient.order(""), "x").get().kind(), is("whole"));
		}

	}

	@Nested
	class Resolving {

		// Guards against an outcome that an entry cannot resolve after a lost connection.
		@Test
		void returnsTheOutcomeOfARequest() throws Exception {
			Daemon agent = startAgent(300, 4, 10);
			long incarnation = agent.context().incarnation();
			EntryClient first = AgentTests.this.fixture.entryClient(agent);
			EntryClient second = AgentTests.this.fixture.entryClient(agent);
			RequestStart.Builder start = EntryClient.order("");
			first.send(start, "order");
			AgentFixture.await("the order runs", () -> AgentTests.this.service.runs().size() == 1);
			first.close();
			assertThat(second.resolve(start.getRequestId(), incarnation).get().kind(), is("RUNNING"));
			AgentFixture.await("the outcome is recorded",
					() -> second.resolve(start.getRequestId(), incarnation).join().kind().equals("whole"));
			EntryClient.Response response = second.resolve(start.getRequestId(), incarnation).get();
			assertThat(response.status(), is(200));
			assertThat(response.body(), containsString(text(start.getRequestId())));
			assertThat(second.resolve(start.getRequestId(), incarnation - 1).get().kind(), is("UNKNOWN"));
			assertThat(AgentTests.this.service.runs(), hasSize(1));
		}

		// Guards against a request that runs after it was resolved as NOT_RUN.
		@Test
		void leavesATombstone() throws Exception {
			Daemon agent = startAgent(1, 4, 10);
			EntryClient client = AgentTests.this.fixture.entryClient(agent);
			RequestStart.Builder start = EntryClient.order("");
			assertThat(client.resolve(start.getRequestId(), agent.context().incarnation()).get().kind(), is("NOT_RUN"));
			assertThat(client.send(start, "x").get().kind(), is("TOMBSTONED"));
			assertThat(AgentTests.this.service.runs(), hasSize(0));
		}

	}

	@Nested
	class Keys {

		// Guards against running an order again that is repeated with the same key.
		@Test
		void replayTheFirstResponse() throws Exception {
			EntryClient client = AgentTests.this.fixture.entryClient(startAgent(1, 4, 10));
			EntryClient.Response first = client.send(EntryClient.order("key-1"), "order").get();
			EntryClient.Response repeated = client.send(EntryClient.order("key-1"), "order").get();
			assertThat(first.kind(), is("whole"));
			assertThat(repeated, is(first));
			assertThat(AgentTests.this.service.runs(), hasSize(1));
		}

		// Guards against responding to one order with the response to another.
		@Test
		void refuseOtherContent() throws Exception {
			EntryClient client = AgentTests.this.fixture.entryClient(startAgent(1, 4, 10));
			client.send(EntryClient.order("key-1"), "order").get();
			RequestStart.Builder other = EntryClient.order("key-1")
				.setFingerprint(ByteString.copyFromUtf8("another fingerprint"));
			assertThat(client.send(other, "other").get().kind(), is("KEY_REUSED"));
		}

		// Guards against an order that runs twice when its agent is killed at any step
		// and the order is repeated through another agent, also when responses of the
		// store are lost.
		@Test
		void runOnceWhenAgentsDie() throws Exception {
			AgentTests.this.service = new PlainStandin(new PlainSettings(AgentFixture.SERVICE, "sindh", 10, 0, 0, 0));
			StandinServer server = AgentTests.this.fixture.start(AgentTests.this.service);
			java.util.Random random = new java.util.Random(11);
			Daemon survivingAgent = AgentTests.this.fixture.startAgent("agent-0", server, TargetKind.PLAIN, 8, 8, 50);
			EntryClient survivingClient = AgentTests.this.fixture.entryClient(survivingAgent);
			for (int round = 0; round < 12; round++) {
				Daemon killedAgent = AgentTests.this.fixture.startAgent("agent-" + (round + 1), server,
						TargetKind.PLAIN, 8, 8, 50);
				EntryClient client = AgentTests.this.fixture.entryClient(killedAgent);
				if (round % 3 == 2) {
					AgentTests.this.fixture.store().activateFault(fault("lost_answer").put("count", 1));
				}
				List<CompletableFuture<EntryClient.Response>> first = new ArrayList<>();
				for (int i = 0; i < 5; i++) {
					first.add(client.send(EntryClient.order("key-" + round + "-" + i), "order " + round + "-" + i));
				}
				AgentFixture.sleep(random.nextInt(40));
				client.close();
				AgentTests.this.fixture.kill(killedAgent);
				for (int i = 0; i < 5; i++) {
					survivingClient.send(EntryClient.order("key-" + round + "-" + i), "order " + round + "-" + i)
						.get(20, TimeUnit.SECONDS);
				}
			}
			List<String> orders = AgentTests.this.service.runs().stream().map(RunLog.Entry::bodyDigest).toList();
			assertThat(orders.size(), greaterThan(5));
			assertThat(orders, hasSize(new HashSet<>(orders).size()));
		}

	}

	@Nested
	class Drain {

		// Guards against a drain that truncates responses or admits new requests.
		@Test
		void completesRunningRequests() throws Exception {
			Daemon agent = startAgent(200, 20, 10);
			EntryClient client = AgentTests.this.fixture.entryClient(agent);
			List<CompletableFuture<EntryClient.Response>> responses = new ArrayList<>();
			for (int i = 0; i < 20; i++) {
				responses.add(client.send(EntryClient.request("GET", "/stock", "shop"), ""));
			}
			AgentFixture.await("the requests run", () -> AgentTests.this.service.runs().size() == 20);
			CompletableFuture<Void> drained = agent.drain("test");
			assertThat(client.send(EntryClient.order(""), "x").get().kind(), is("REFUSED_LEAVING"));
			drained.get(20, TimeUnit.SECONDS);
			for (CompletableFuture<EntryClient.Response> response : responses) {
				assertThat(response.isDone(), is(true));
				assertThat(response.get().kind(), is("whole"));
			}
		}

	}

}
