package org.baobabknot.gossip;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import org.baobabknot.daemon.Daemon;
import org.baobabknot.protocol.ConnectResult;
import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.ConnectionListener;
import org.baobabknot.protocol.ConnectionSettings;
import org.baobabknot.protocol.Connector;
import org.baobabknot.protocol.LocalState;
import org.baobabknot.protocol.ProtocolCounters;
import org.baobabknot.protocol.generated.DrainOrder;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.Hello;
import org.baobabknot.protocol.generated.Knowledge;
import org.baobabknot.protocol.generated.RequestStart;
import org.baobabknot.protocol.generated.Role;
import org.baobabknot.protocol.generated.RulesValue;
import org.baobabknot.protocol.generated.StatusPull;
import org.baobabknot.protocol.generated.TimelinePull;
import org.baobabknot.settings.ProcessRole;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Dissemination of the rules and the member list between several processes.
 */
class GossipTests {

	@TempDir
	Path directory;

	private static ConnectResult connect(GossipFleet fleet, Daemon daemon, String token) {
		LocalState operator = new LocalState() {
			@Override
			public Hello hello() {
				return Hello.newBuilder().setInstance("operator").setRole(Role.OPERATOR).setToken(token).build();
			}

			@Override
			public Knowledge knowledge() {
				return Knowledge.getDefaultInstance();
			}
		};
		return new Connector(fleet.group, ConnectionSettings.defaults(), operator, null, new ProtocolCounters())
			.connect("127.0.0.1", daemon.address().getPort(), new ConnectionListener() {
			})
			.join();
	}

	private static Connection connectOperator(GossipFleet fleet, Daemon daemon) {
		ConnectResult result = connect(fleet, daemon, GossipFleet.TOKEN);
		assertThat(result, instanceOf(ConnectResult.Connected.class));
		return ((ConnectResult.Connected) result).connection();
	}

	private static Frame sendAndAwait(Connection connection, Frame.Builder request) {
		CompletableFuture<Frame> response = new CompletableFuture<>();
		connection.open(request, (stream, frame) -> response.complete(frame));
		return response.orTimeout(20, TimeUnit.SECONDS).join();
	}

	private static Frame.Builder pushFrame(long revision) {
		return Frame.newBuilder()
			.setRulesValue(RulesValue.newBuilder()
				.setRevision(revision)
				.setValue(ByteString.copyFrom(GossipFleet.document(revision, "c"))));
	}

	/** Changes of the rules. */
	@Nested
	class Rules {

		// Guards against processes that receive changes only from the store, and against
		// a load on the store that grows with the number of processes.
		@Test
		void changeReachesAllProcessesAndTwoPerDomainWatch() throws Exception {
			try (GossipFleet fleet = new GossipFleet(GossipTests.this.directory)) {
				fleet.writeRules(1);
				fleet.startDomain("a", 3, 2);
				fleet.startDomain("b", 3, 2);
				fleet.awaitConnected();
				GossipFleet.await(() -> fleet.allHaveRevision(1));
				GossipFleet.await(() -> fleet.store.record().path("pending_watches").asInt() == 4);
				fleet.writeRules(2);
				GossipFleet.await(() -> fleet.allHaveRevision(2));
			}
		}

		// Guards against a change that is lost because the store fails right after
		// accepting it, and against processes that cannot start during an outage of the
		// store.
		@Test
		void pushedChangeSpreadsWhileTheStoreIsDown() throws Exception {
			try (GossipFleet fleet = new GossipFleet(GossipTests.this.directory)) {
				fleet.startDomain("a", 2, 2);
				fleet.startDomain("b", 1, 1);
				fleet.awaitConnected();
				fleet.injectFault(fleet.store, "outage");
				Daemon entry = fleet.daemons.get("b-entry0");
				assertThat(sendAndAwait(connectOperator(fleet, entry), pushFrame(7)).getRulesValue().getRevision(),
						is(7L));
				GossipFleet.await(() -> fleet.allHaveRevision(7));
				fleet.start("a-agent9", ProcessRole.AGENT, "a");
				GossipFleet.await(() -> fleet.allHaveRevision(7));
			}
		}

		// Guards against a change that is missed because a watch has silently stopped.
		@Test
		void periodicReadsFindChangesThatASilentWatchMisses() throws Exception {
			try (GossipFleet fleet = new GossipFleet(GossipTests.this.directory)) {
				fleet.writeRules(1);
				fleet.startDomain("a", 2, 1);
				fleet.awaitConnected();
				GossipFleet.await(() -> fleet.allHaveRevision(1));
				fleet.injectFault(fleet.store, "silent_watch");
				fleet.writeRules(2);
				GossipFleet.await(() -> fleet.allHaveRevision(2));
			}
		}

		// Guards against processes that revert to an older revision, or stay at one, when
		// changes are pushed concurrently.
		@Test
		void concurrentPushesConvergeOnTheHighestRevisionWithoutReverts() throws Exception {
			try (GossipFleet fleet = new GossipFleet(GossipTests.this.directory)) {
				fleet.startDomain("a", 2, 2);
				fleet.startDomain("b", 2, 2);
				fleet.awaitConnected();
				List<Daemon> all = new ArrayList<>(fleet.daemons.values());
				Random random = new Random(5);
				List<CompletableFuture<Void>> pushes = new ArrayList<>();
				for (int i = 1; i <= 20; i++) {
					int revision = i;
					Daemon daemon = all.get(random.nextInt(all.size()));
					pushes.add(CompletableFuture
						.runAsync(() -> sendAndAwait(connectOperator(fleet, daemon), pushFrame(revision))));
				}
				CompletableFuture.allOf(pushes.toArray(CompletableFuture[]::new)).join();
				GossipFleet.await(() -> fleet.allHaveRevision(20));
				for (Map.Entry<String, List<Long>> process : fleet.adoptedRevisions.entrySet()) {
					List<Long> sorted = new ArrayList<>(process.getValue());
					sorted.sort(null);
					assertThat(process.getKey(), sorted.get(sorted.size() - 1), is(20L));
					assertThat(process.getKey(), sorted.stream().distinct().count(), is((long) sorted.size()));
				}
			}
		}

		// Guards against a process that adopts a part of an invalid rule set.
		@Test
		void invalidDocumentIsRefusedAsAWhole() throws Exception {
			try (GossipFleet fleet = new GossipFleet(GossipTests.this.directory)) {
				Daemon agent = fleet.start("agent", ProcessRole.AGENT, "a");
				Connection operator = connectOperator(fleet, agent);
				for (String text : new String[] { "{", "[]", "{\"revision\":3,\"text\":\"nonsense\"}",
						"{\"revision\":-1,\"text\":\"\"}" }) {
					Frame.Builder push = Frame.newBuilder()
						.setRulesValue(RulesValue.newBuilder().setRevision(3).setValue(ByteString.copyFromUtf8(text)));
					assertThat(sendAndAwait(operator, push).getRulesValue().getRevision(), is(0L));
				}
			}
		}

	}

	/** Operators' connections. */
	@Nested
	class Operators {

		// Guards against accepting operators without the token.
		@Test
		void wrongTokenIsRefusedAndCounted() throws Exception {
			try (GossipFleet fleet = new GossipFleet(GossipTests.this.directory)) {
				Daemon agent = fleet.start("agent", ProcessRole.AGENT, "a");
				for (String token : new String[] { "", "wrong", GossipFleet.TOKEN + "0" }) {
					assertThat(connect(fleet, agent, token), instanceOf(ConnectResult.NotConnected.class));
				}
				assertThat(agent.context().counters().refusedHellos().sum(), is(3L));
			}
		}

		// Guards against a status or timeline that omits a change, and against drain
		// orders that are not executed.
		@Test
		void statusTimelineAndDrainRequestsReceiveResponses() throws Exception {
			try (GossipFleet fleet = new GossipFleet(GossipTests.this.directory)) {
				Daemon agent = fleet.start("agent", ProcessRole.AGENT, "a");
				Connection operator = connectOperator(fleet, agent);
				sendAndAwait(operator, pushFrame(4));
				sendAndAwait(operator, Frame.newBuilder().setDrainOrder(DrainOrder.newBuilder().setReason("test")));
				Frame status = sendAndAwait(operator,
						Frame.newBuilder().setStatusPull(StatusPull.getDefaultInstance()));
				assertThat(status.getStatusValue().getRulesRevision(), is(4L));
				assertThat(status.getStatusValue().getDraining(), is(true));
				Frame timeline = sendAndAwait(operator,
						Frame.newBuilder().setTimelinePull(TimelinePull.getDefaultInstance()));
				assertThat(timeline.getTimelineValue()
					.getEventsList()
					.stream()
					.anyMatch((event) -> event.getKind().equals("rules-adopted")), is(true));
			}
		}

		// Guards against requests to targets with an operator's credentials.
		@Test
		void operatorCannotSendRequests() throws Exception {
			try (GossipFleet fleet = new GossipFleet(GossipTests.this.directory)) {
				Daemon agent = fleet.start("agent", ProcessRole.AGENT, "a");
				boolean[] opened = new boolean[1];
				agent.context().streams().addAcceptor(Frame.BodyCase.REQUEST_START, (stream, first) -> {
					opened[0] = true;
					return null;
				});
				Connection operator = connectOperator(fleet, agent);
				operator.open(Frame.newBuilder().setRequestStart(RequestStart.getDefaultInstance()),
						(stream, frame) -> {
						});
				sendAndAwait(operator, Frame.newBuilder().setStatusPull(StatusPull.getDefaultInstance()));
				assertThat(opened[0], is(false));
			}
		}

	}

	/** The member list. */
	@Nested
	class Members {

		// Guards against agents that all poll the platform's list, and against agents
		// that never receive a change.
		@Test
		void agentsLearnMembersFromEntriesOfTheirDomain() throws Exception {
			try (GossipFleet fleet = new GossipFleet(GossipTests.this.directory)) {
				fleet.startDomain("a", 1, 4);
				fleet.awaitConnected();
				GossipFleet.await(() -> fleet.daemons.values()
					.stream()
					.allMatch((daemon) -> daemon.context().membership().members().size() == 5));
				long before = fleet.members.record().path("polls").asLong();
				Thread.sleep(4_000);
				long polls = fleet.members.record().path("polls").asLong() - before;
				// One entry polls every 2 s; the four agents do not.
				assertThat(polls, greaterThan(0L));
				assertThat(polls, lessThanOrEqualTo(3L));
			}
		}

		// Guards against agents that never receive the list because their domain has no
		// entry.
		@Test
		void agentWithoutEntriesPollsTheList() throws Exception {
			try (GossipFleet fleet = new GossipFleet(GossipTests.this.directory)) {
				fleet.start("agent", ProcessRole.AGENT, "a");
				GossipFleet.await(() -> fleet.daemons.get("agent").context().membership().members().size() == 1);
				fleet.start("other", ProcessRole.AGENT, "a");
				GossipFleet.await(() -> fleet.daemons.get("agent").context().membership().members().size() == 2);
			}
		}

	}

	/** Pauses of a process. */
	@Nested
	class Pauses {

		// Guards against work that is admitted with outdated rules after a pause during
		// which the rules changed several times.
		@Test
		void pausedProcessAdmitsWorkOnlyWithTheCurrentRules() throws Exception {
			try (GossipFleet fleet = new GossipFleet(GossipTests.this.directory)) {
				fleet.writeRules(1);
				fleet.startDomain("a", 1, 1);
				fleet.awaitConnected();
				GossipFleet.await(() -> fleet.allHaveRevision(1));
				Daemon entry = fleet.daemons.get("a-entry0");
				Daemon agent = fleet.daemons.get("a-agent0");
				// Blocking the only event loop simulates a pause of the process.
				CompletableFuture<Void> loopBlock = new CompletableFuture<>();
				entry.context().group().next().execute(() -> loopBlock.orTimeout(30, TimeUnit.SECONDS).join());
				for (long revision = 2; revision <= 4; revision++) {
					sendAndAwait(connectOperator(fleet, agent), pushFrame(revision));
				}
				Thread.sleep(1_500);
				CompletableFuture<Long> admittedRevision = new CompletableFuture<>();
				entry.context()
					.pauseGate()
					.runWhenOpen(() -> admittedRevision.complete(entry.context().configuration().revision()));
				assertThat(Optional.ofNullable(admittedRevision.getNow(null)), is(Optional.empty()));
				loopBlock.complete(null);
				assertThat(admittedRevision.get(20, TimeUnit.SECONDS), is(4L));
			}
		}

	}

}
