package org.baobabknot.relay;

import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.baobabknot.emulator.EmulatedServer;
import org.baobabknot.emulator.HttpExchange;
import org.baobabknot.emulator.TestPorts;
import org.baobabknot.fleet.EntryRecord;
import org.baobabknot.fleet.SourceTiming;
import org.baobabknot.fleet.ValueSources;
import org.baobabknot.mirror.KnownRevisions;
import org.baobabknot.mirror.MirrorSnapshot;
import org.baobabknot.mirror.Position;
import org.baobabknot.mirror.StoreItem;
import org.baobabknot.provider.ItemSnapshot;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests of {@link ValueRelay} with servers that respond, fail or have lost the store.
 */
class ValueRelayTests {

	/** Time in which a change must be in force. */
	private static final long CHANGE_MS = 2_000;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	private static ItemSnapshot changedSnapshot(long revision, boolean connected) {
		byte[] value = ("value " + revision).getBytes(StandardCharsets.UTF_8);
		return new ItemSnapshot(revision, Map.of("k", revision), List.of(new StoreItem("k", value, revision)),
				connected, 40);
	}

	private static ItemSnapshot snapshot(long era, long revision) {
		byte[] value = ("value of era " + era).getBytes(StandardCharsets.UTF_8);
		return new ItemSnapshot(MirrorSnapshot.of(List.of(new StoreItem("k", value, 5)), new Position(era, revision)),
				true, 10, false);
	}

	private EntryRecord startServer(ItemSnapshot snapshot) throws Exception {
		int port = TestPorts.findFree();
		new ValueServer(this.loop, (prefix, knownRevisions) -> snapshot).bind("127.0.0.1", port)
			.get(5, TimeUnit.SECONDS);
		return new EntryRecord("e" + port, "a", "127.0.0.1", port);
	}

	private static EntryRecord unreachableEntry() {
		return new EntryRecord("dead", "a", "127.0.0.1", TestPorts.findFree());
	}

	private ValueRelay relayOf(EntryRecord... sources) {
		return new ValueRelay(this.loop, SourceTiming.forChangesWithin(CHANGE_MS, CHANGE_MS),
				() -> new ValueSources(List.of(sources), 3));
	}

	private Optional<ItemSnapshot> poll(ValueRelay relay) throws Exception {
		return this.loop.submit(() -> relay.poll("", KnownRevisions.NONE, 100, Long.MAX_VALUE))
			.get()
			.get(5, TimeUnit.SECONDS);
	}

	private long revision(ValueRelay relay) throws Exception {
		return poll(relay).map((snapshot) -> snapshot.position().revision()).orElse(0L);
	}

	private boolean readsStore(ValueRelay relay) throws Exception {
		return this.loop.submit(relay::shouldReadStore).get();
	}

	@Nested
	class Sources {

		@Test
		void aSourceThatIsDownIsReplacedByTheNext() throws Exception {
			ValueRelay relay = relayOf(unreachableEntry(), startServer(changedSnapshot(7, true)));
			assertThat(revision(relay), is(0L));
			assertThat(revision(relay), is(7L));
			assertThat(readsStore(relay), is(false));
		}

		@Test
		void aSourceWithoutTheStoreIsReplacedByOneThatReachesIt() throws Exception {
			ValueRelay relay = relayOf(startServer(changedSnapshot(5, false)), startServer(changedSnapshot(7, true)));
			assertThat(revision(relay), is(5L));
			assertThat(revision(relay), is(7L));
		}

		/**
		 * Guards against all processes of a region reading from the store at once, and
		 * against a process that waits too long for its sources.
		 */
		@Test
		void withoutAnySourceTheStoreIsReadAfterABoundedDelay() throws Exception {
			ValueRelay relay = relayOf(unreachableEntry(), unreachableEntry());
			assertThat(readsStore(relay), is(false));
			long startNanos = System.nanoTime();
			while (!readsStore(relay)) {
				poll(relay);
			}
			long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
			assertThat(tookMs, is(greaterThanOrEqualTo(800L)));
			assertThat(tookMs, is(lessThan(2_000L)));
		}

		@Test
		void whenNoSourceReachesTheStoreItIsReadSoon() throws Exception {
			ValueRelay relay = relayOf(startServer(disconnectedSnapshot()), startServer(disconnectedSnapshot()),
					startServer(disconnectedSnapshot()), startServer(disconnectedSnapshot()));
			long startNanos = System.nanoTime();
			while (!readsStore(relay)) {
				ValueRelayTests.this.loop
					.submit(() -> relay.poll("", new KnownRevisions(0, Map.of("k", 5L)), 1_500, 10))
					.get()
					.get(5, TimeUnit.SECONDS);
			}
			assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos), is(lessThan(1_500L)));
		}

		private static ItemSnapshot disconnectedSnapshot() {
			return new ItemSnapshot(5, Map.of("k", 5L), List.of(), false, 3_000);
		}

		/**
		 * A silent source was waited for as long as a change may take, and chosen again
		 * before the store was.
		 */
		@Test
		void silentSourcesLeaveTimeToReadTheStore() throws Exception {
			try (ServerSocket first = new ServerSocket(0); ServerSocket second = new ServerSocket(0)) {
				ValueRelay relay = relayOf(entry(first.getLocalPort()), entry(second.getLocalPort()));
				long startNanos = System.nanoTime();
				while (!readsStore(relay)) {
					ValueRelayTests.this.loop
						.submit(() -> relay.poll("", new KnownRevisions(0, Map.of("k", 5L)), 1_500, 10))
						.get()
						.get(5, TimeUnit.SECONDS);
				}
				assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos),
						is(lessThan(CHANGE_MS * 3 / 4)));
			}
		}

		/** A source that follows others was taken for fresh as long as it responded. */
		@Test
		void aSourceWhoseValuesOnlyGrowOlderIsReplaced() throws Exception {
			ItemSnapshot old = new ItemSnapshot(5, Map.of("k", 5L), List.of(), true, 1_300);
			ValueRelay relay = relayOf(startServer(old), startServer(changedSnapshot(7, true)));
			assertThat(revision(relay), is(5L));
			assertThat(revision(relay), is(7L));
		}

		/** Guards against copies of a large value that all processes read at once. */
		@Test
		void aSourceThatIsReceivingANewerValueIsKept() throws Exception {
			ItemSnapshot old = new ItemSnapshot(new MirrorSnapshot(new Position(0, 5), Map.of("k", 5L), List.of()),
					true, 1_300, true);
			ValueRelay relay = relayOf(startServer(old), startServer(changedSnapshot(7, true)));
			assertThat(revision(relay), is(5L));
			assertThat(revision(relay), is(5L));
		}

		/** Guards against going back to what the store had before it was restored. */
		@Test
		void aSourceOfAnEarlierEraIsReplaced() throws Exception {
			ValueRelay relay = relayOf(startServer(snapshot(1, 90)), startServer(snapshot(2, 7)));
			KnownRevisions known = new KnownRevisions(2, Map.of());
			assertThat(pollFor(relay, known).isPresent(), is(false));
			assertThat(pollFor(relay, known).orElseThrow().position(), is(new Position(2, 7)));
		}

		private Optional<ItemSnapshot> pollFor(ValueRelay relay, KnownRevisions known) throws Exception {
			return ValueRelayTests.this.loop.submit(() -> relay.poll("", known, 100, Long.MAX_VALUE))
				.get()
				.get(5, TimeUnit.SECONDS);
		}

		private static EntryRecord entry(int port) {
			return new EntryRecord("e" + port, "a", "127.0.0.1", port);
		}

		@Test
		void aRecoveredSourceIsUsedAgain() throws Exception {
			EntryRecord entry = unreachableEntry();
			ValueRelay relay = relayOf(entry);
			poll(relay);
			new ValueServer(ValueRelayTests.this.loop, (prefix, knownRevisions) -> changedSnapshot(9, true))
				.bind("127.0.0.1", entry.port())
				.get(5, TimeUnit.SECONDS);
			long revision = 0;
			for (int attempt = 0; attempt < 40 && revision == 0; attempt++) {
				revision = revision(relay);
			}
			assertThat(revision, is(9L));
		}

		/**
		 * All sources lose the store at the same moment, so that each of them is skipped
		 * for a time when it reaches the store again.
		 */
		@Test
		void aSourceThatWasWithoutTheStoreIsAskedAgain() throws Exception {
			AtomicReference<ItemSnapshot> snapshot = new AtomicReference<>(disconnectedSnapshot());
			int port = TestPorts.findFree();
			new ValueServer(ValueRelayTests.this.loop, (prefix, knownRevisions) -> snapshot.get())
				.bind("127.0.0.1", port)
				.get(5, TimeUnit.SECONDS);
			ValueRelay relay = relayOf(new EntryRecord("e" + port, "a", "127.0.0.1", port));
			poll(relay);
			assertThat(askedRevision(relay), is(0L));
			snapshot.set(changedSnapshot(9, true));
			assertThat(revision(relay), is(0L));
			assertThat(askedRevision(relay), is(9L));
			assertThat(revision(relay), is(9L));
		}

		private long askedRevision(ValueRelay relay) throws Exception {
			return ValueRelayTests.this.loop.submit(() -> relay.ask("", KnownRevisions.NONE))
				.get()
				.get(5, TimeUnit.SECONDS)
				.map((answered) -> answered.position().revision())
				.orElse(0L);
		}

	}

	@Nested
	class Responses {

		@Test
		void areDelayedUntilAValueChanges() throws Exception {
			int port = TestPorts.findFree();
			ItemSnapshot[] snapshot = { new ItemSnapshot(4, Map.of("k", 4L), List.of(), true, 10) };
			EventLoop serverLoop = ValueRelayTests.this.loop;
			ValueServer server = new ValueServer(serverLoop, (prefix, knownRevisions) -> snapshot[0]);
			server.bind("127.0.0.1", port).get(5, TimeUnit.SECONDS);
			ValueRelay relay = relayOf(new EntryRecord("e", "a", "127.0.0.1", port));
			var pendingPoll = serverLoop.submit(() -> relay.poll("", new KnownRevisions(0, Map.of("k", 4L)), 3_000, 50))
				.get();
			Thread.sleep(200);
			assertThat(pendingPoll.isDone(), is(false));
			serverLoop.submit(() -> {
				snapshot[0] = changedSnapshot(6, true);
				server.respondToWaiting("");
			});
			assertThat(pendingPoll.get(2, TimeUnit.SECONDS).orElseThrow().position().revision(), is(6L));
		}

		/**
		 * Guards against pulls that follow each other without a pause when the source is
		 * behind the process that follows it.
		 */
		@Test
		void areImmediateForARemovalButNotForAnItemThatIsNewerThanTheSource() throws Exception {
			int port = TestPorts.findFree();
			EventLoop serverLoop = ValueRelayTests.this.loop;
			ItemSnapshot empty = new ItemSnapshot(4, Map.of(), List.of(), true, 10);
			new ValueServer(serverLoop, (prefix, knownRevisions) -> empty).bind("127.0.0.1", port)
				.get(5, TimeUnit.SECONDS);
			ValueRelay relay = relayOf(new EntryRecord("e", "a", "127.0.0.1", port));
			var newer = serverLoop.submit(() -> relay.poll("", new KnownRevisions(0, Map.of("k", 6L)), 3_000, 50))
				.get();
			Thread.sleep(300);
			assertThat(newer.isDone(), is(false));
			var removed = serverLoop.submit(() -> relay.poll("", new KnownRevisions(0, Map.of("k", 3L)), 3_000, 50))
				.get();
			assertThat(removed.get(1, TimeUnit.SECONDS).orElseThrow().presentRevisions().isEmpty(), is(true));
		}

		/**
		 * Revisions are given out again, so that they can't tell which values are known.
		 */
		@Test
		void areImmediateAndHaveTheValuesOfTheNewEra() throws Exception {
			int port = TestPorts.findFree();
			EventLoop serverLoop = ValueRelayTests.this.loop;
			ItemSnapshot[] current = { snapshot(1, 9) };
			long[] eraOfCaller = new long[1];
			ValueServer server = new ValueServer(serverLoop, (prefix, known) -> current[0]);
			server.onEra((era) -> eraOfCaller[0] = Math.max(eraOfCaller[0], era));
			server.bind("127.0.0.1", port).get(5, TimeUnit.SECONDS);
			ValueRelay relay = relayOf(new EntryRecord("e", "a", "127.0.0.1", port));
			serverLoop.submit(() -> relay.poll("", KnownRevisions.NONE, 0, 50)).get().get(2, TimeUnit.SECONDS);
			current[0] = snapshot(2, 9);
			ItemSnapshot restored = serverLoop
				.submit(() -> relay.poll("", new KnownRevisions(1, Map.of("k", 5L)), 3_000, 50))
				.get()
				.get(1, TimeUnit.SECONDS)
				.orElseThrow();
			assertThat(new String(restored.changedItems().get(0).value(), StandardCharsets.UTF_8),
					is("value of era 2"));
			assertThat(eraOfCaller[0], is(1L));
		}

		@Test
		void thatCannotBeDecodedCountAsFailures() throws Exception {
			try (EmulatedServer broken = new EmulatedServer(ValueRelayTests.this.group, "127.0.0.1") {
				@Override
				protected void handle(HttpExchange call) {
					call.respond(200, Map.of(), new byte[] { 1, 2, 3 });
				}
			}) {
				int port = Integer.parseInt(broken.address().split(":")[1]);
				ValueRelay relay = relayOf(new EntryRecord("b", "a", "127.0.0.1", port),
						startServer(changedSnapshot(7, true)));
				assertThat(revision(relay), is(0L));
				assertThat(revision(relay), is(7L));
			}
		}

	}

}
