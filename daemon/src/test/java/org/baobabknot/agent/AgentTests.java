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

	private Daemon agent(int timeMillis, int capacity, int queued) throws Exception {
		this.service = new PlainStandin(new PlainSettings(AgentFixture.SERVICE, "sindh", timeMillis, 0, 0, 0));
		StandinServer server = this.fixture.start(this.service);
		return this.fixture.agent("agent-1", server, TargetKind.PLAIN, capacity, capacity, queued);
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

		// Guards against bodies that are cut, reordered or stall without credit.
		@Test
		void passLargeBodiesWhole() throws Exception {
			Caller caller = AgentTests.this.fixture.caller(agent(1, 4, 10));
			byte[] body = new byte[3 << 20];
			new java.util.Random(5).nextBytes(body);
			Caller.Answer answer = caller.send(Caller.request("POST", "/menus", "shop"), ByteString.copyFrom(body))
				.get(20, TimeUnit.SECONDS);
			assertThat(answer.kind(), is("whole"));
			assertThat(answer.body(), containsString(Digests.of(body)));
		}

	}

	@Nested
	class Refusals {

		// Guards against requests that run although their entry was told that
		// they did not.
		@Test
		void neverReachTheTarget() throws Exception {
			Caller caller = AgentTests.this.fixture.caller(agent(20, 2, 10));
			List<RequestStart.Builder> sent = new ArrayList<>();
			List<CompletableFuture<Caller.Answer>> answers = new ArrayList<>();
			for (int i = 0; i < 300; i++) {
				RequestStart.Builder start = ((i % 2) == 0) ? Caller.order("")
						: Caller.request("GET", "/stock", "shop");
				start.setTimeoutMs(((i % 3) == 0) ? 30 : 5000);
				sent.add(start);
				answers.add(caller.send(start, "order " + i));
			}
			int refused = 0;
			for (int i = 0; i < answers.size(); i++) {
				String kind = answers.get(i).get(20, TimeUnit.SECONDS).kind();
				if (!kind.equals("whole") && !kind.equals("unknown") && !kind.equals("failed")) {
					refused++;
					assertThat(kind, ranIds(), not(org.hamcrest.Matchers.hasItem(text(sent.get(i).getRequestId()))));
				}
			}
			AgentFixture.sleep(100);
			assertThat(refused, greaterThan(100));
		}

		// Guards against new work in a failure domain that is out of service.
		@Test
		void meetNewWorkInADomainThatIsOut() throws Exception {
			Daemon agent = agent(1, 4, 10);
			Caller caller = AgentTests.this.fixture.caller(agent);
			AgentFixture.takeDomainOut(agent, 2);
			assertThat(caller.send(Caller.order(""), "x").get().kind(), is("REFUSED_DOMAIN_OUT"));
			assertThat(AgentTests.this.service.runs(), hasSize(0));
		}

		// Guards against serving a workspace that no rule allows.
		@Test
		void meetWorkspacesWithoutARule() throws Exception {
			Caller caller = AgentTests.this.fixture.caller(agent(1, 4, 10));
			assertThat(caller.send(Caller.request("GET", "/stock", "stranger"), "").get().kind(),
					is("WORKSPACE_NOT_SERVED"));
		}

		// Guards against an entry with old rules that takes an order for idempotent and
		// would send it again.
		@Test
		void meetOrdersMarkedAsIdempotent() throws Exception {
			Caller caller = AgentTests.this.fixture.caller(agent(1, 4, 10));
			assertThat(caller.send(Caller.order("").setIdempotent(true), "x").get().kind(), is("REFUSED_UNAVAILABLE"));
		}

		// Guards against running a claimed order while the store cannot hold the claim.
		@Test
		void meetKeysWhileTheStoreIsDown() throws Exception {
			Caller caller = AgentTests.this.fixture.caller(agent(1, 4, 10));
			AgentTests.this.fixture.store().activateFault(fault("outage"));
			assertThat(caller.send(Caller.order("key-1"), "x").get().kind(), is("CLAIM_UNAVAILABLE"));
			assertThat(AgentTests.this.service.runs(), hasSize(0));
			assertThat(caller.send(Caller.order(""), "x").get().kind(), is("whole"));
		}

	}

	@Nested
	class Resolving {

		// Guards against an outcome that the entry cannot learn after a lost connection.
		@Test
		void tellsWhatBecameOfARequest() throws Exception {
			Daemon agent = agent(300, 4, 10);
			long incarnation = agent.node().incarnation();
			Caller first = AgentTests.this.fixture.caller(agent);
			Caller second = AgentTests.this.fixture.caller(agent);
			RequestStart.Builder start = Caller.order("");
			first.send(start, "order");
			AgentFixture.await("the order runs", () -> AgentTests.this.service.runs().size() == 1);
			first.close();
			assertThat(second.resolve(start.getRequestId(), incarnation).get().kind(), is("RUNNING"));
			AgentFixture.await("the outcome is recorded",
					() -> second.resolve(start.getRequestId(), incarnation).join().kind().equals("whole"));
			Caller.Answer answer = second.resolve(start.getRequestId(), incarnation).get();
			assertThat(answer.status(), is(200));
			assertThat(answer.body(), containsString(text(start.getRequestId())));
			assertThat(second.resolve(start.getRequestId(), incarnation - 1).get().kind(), is("UNKNOWN"));
			assertThat(AgentTests.this.service.runs(), hasSize(1));
		}

		// Guards against a request that runs after its entry was told NOT_RUN.
		@Test
		void leavesATombstone() throws Exception {
			Daemon agent = agent(1, 4, 10);
			Caller caller = AgentTests.this.fixture.caller(agent);
			RequestStart.Builder start = Caller.order("");
			assertThat(caller.resolve(start.getRequestId(), agent.node().incarnation()).get().kind(), is("NOT_RUN"));
			assertThat(caller.send(start, "x").get().kind(), is("TOMBSTONED"));
			assertThat(AgentTests.this.service.runs(), hasSize(0));
		}

	}

	@Nested
	class Keys {

		// Guards against a repeated order that runs again.
		@Test
		void replayTheFirstAnswer() throws Exception {
			Caller caller = AgentTests.this.fixture.caller(agent(1, 4, 10));
			Caller.Answer first = caller.send(Caller.order("key-1"), "order").get();
			Caller.Answer again = caller.send(Caller.order("key-1"), "order").get();
			assertThat(first.kind(), is("whole"));
			assertThat(again, is(first));
			assertThat(AgentTests.this.service.runs(), hasSize(1));
		}

		// Guards against answering one order with the answer to another.
		@Test
		void refuseOtherContent() throws Exception {
			Caller caller = AgentTests.this.fixture.caller(agent(1, 4, 10));
			caller.send(Caller.order("key-1"), "order").get();
			RequestStart.Builder other = Caller.order("key-1")
				.setFingerprint(ByteString.copyFromUtf8("another fingerprint"));
			assertThat(caller.send(other, "other").get().kind(), is("KEY_REUSED"));
		}

		// Guards against an order that runs twice when its agent dies at any step and its
		// caller repeats it through another agent, also with lost answers of the store.
		@Test
		void runOnceWhenAgentsDie() throws Exception {
			AgentTests.this.service = new PlainStandin(new PlainSettings(AgentFixture.SERVICE, "sindh", 10, 0, 0, 0));
			StandinServer server = AgentTests.this.fixture.start(AgentTests.this.service);
			java.util.Random random = new java.util.Random(11);
			Daemon survivor = AgentTests.this.fixture.agent("agent-0", server, TargetKind.PLAIN, 8, 8, 50);
			Caller other = AgentTests.this.fixture.caller(survivor);
			for (int round = 0; round < 12; round++) {
				Daemon dying = AgentTests.this.fixture.agent("agent-" + (round + 1), server, TargetKind.PLAIN, 8, 8,
						50);
				Caller caller = AgentTests.this.fixture.caller(dying);
				if (round % 3 == 2) {
					AgentTests.this.fixture.store().activateFault(fault("lost_answer").put("count", 1));
				}
				List<CompletableFuture<Caller.Answer>> first = new ArrayList<>();
				for (int i = 0; i < 5; i++) {
					first.add(caller.send(Caller.order("key-" + round + "-" + i), "order " + round + "-" + i));
				}
				AgentFixture.sleep(random.nextInt(40));
				caller.close();
				AgentTests.this.fixture.kill(dying);
				for (int i = 0; i < 5; i++) {
					other.send(Caller.order("key-" + round + "-" + i), "order " + round + "-" + i)
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

		// Guards against a shutdown that cuts answers, and against new work meanwhile.
		@Test
		void finishesWhatHasBegun() throws Exception {
			Daemon agent = agent(200, 20, 10);
			Caller caller = AgentTests.this.fixture.caller(agent);
			List<CompletableFuture<Caller.Answer>> answers = new ArrayList<>();
			for (int i = 0; i < 20; i++) {
				answers.add(caller.send(Caller.request("GET", "/stock", "shop"), ""));
			}
			AgentFixture.await("the requests run", () -> AgentTests.this.service.runs().size() == 20);
			CompletableFuture<Void> drained = agent.drain("test");
			assertThat(caller.send(Caller.order(""), "x").get().kind(), is("REFUSED_LEAVING"));
			drained.get(20, TimeUnit.SECONDS);
			for (CompletableFuture<Caller.Answer> answer : answers) {
				assertThat(answer.isDone(), is(true));
				assertThat(answer.get().kind(), is("whole"));
			}
		}

	}

}
