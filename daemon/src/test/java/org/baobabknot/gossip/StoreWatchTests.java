package org.baobabknot.gossip;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import org.baobabknot.configuration.ConfigurationView;
import org.baobabknot.membership.MembershipView;
import org.baobabknot.observe.EventRecorder;
import org.baobabknot.store.ConfigurationStore;
import org.baobabknot.store.LeaseResult;
import org.baobabknot.store.ReadResult;
import org.baobabknot.store.StoredValue;
import org.baobabknot.store.WatchResult;
import org.baobabknot.store.WriteResult;
import org.baobabknot.time.HybridClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests for {@link StoreWatch} on a clock that the test advances.
 */
class StoreWatchTests {

	private static final int SECONDS = 5;

	private static final int MAX_CALLS = 10;

	/**
	 * Calls after which the store responds no more, so that a loop without pauses ends.
	 */
	private static final int LAST_CALL = 1_000;

	private final MockTicker ticker = Ticker.newMockTicker();

	private final EmbeddedChannel channel = EmbeddedChannel.builder().ticker(this.ticker).build();

	private final ConfigurationView configuration = new ConfigurationView();

	private int calls;

	private int watchCalls(Supplier<CompletableFuture<WatchResult>> responses, int seconds) {
		EventRecorder events = new EventRecorder(new HybridClock(() -> 0), "e1", 10);
		Peers peers = new Peers();
		StoreWatch watch = new StoreWatch(new WatchedStore(responses), new MembershipView(),
				new RuleSync(this.configuration, peers, new StreamRouter(), events, this.ticker), peers,
				new ProcessIdentity("e1", "a", "ra", true), this.channel.eventLoop(), this.ticker);
		watch.onMembersChanged();
		for (int ms = 0; ms < TimeUnit.SECONDS.toMillis(seconds); ms++) {
			this.channel.runPendingTasks();
			this.ticker.advance(1, TimeUnit.MILLISECONDS);
		}
		watch.close();
		return this.calls;
	}

	@Nested
	class Calls {

		private static final long VERSION = 7;

		@Test
		void pauseWhenTheStoreRespondsAtOnceWithoutAChange() {
			assertThat(watchCalls(() -> CompletableFuture.completedFuture(new WatchResult.Unchanged()), SECONDS),
					lessThanOrEqualTo(MAX_CALLS));
		}

		@Test
		void pauseWhenTheStoreRespondsWithWhatIsKnown() {
			StoredValue value = new StoredValue(RulesDocument.KEY, GossipFleet.document(1, "c"), VERSION);
			assertThat(watchCalls(() -> CompletableFuture.completedFuture(new WatchResult.Changed(value)), SECONDS),
					lessThanOrEqualTo(MAX_CALLS));
			assertThat(StoreWatchTests.this.configuration.revision(), is(1L));
		}

		@Test
		void pauseWhenTheStoreFails() {
			assertThat(watchCalls(() -> CompletableFuture.failedFuture(new IllegalStateException("closed")), SECONDS),
					lessThanOrEqualTo(MAX_CALLS));
		}

		@Test
		void followEachOtherWhenEachBringsAChange() {
			int changes = 20;
			assertThat(watchCalls(() -> {
				long number = StoreWatchTests.this.calls;
				if (number > changes) {
					return new CompletableFuture<>();
				}
				return CompletableFuture.completedFuture(new WatchResult.Changed(
						new StoredValue(RulesDocument.KEY, GossipFleet.document(number, "c"), number)));
			}, 1), greaterThanOrEqualTo(changes));
			assertThat(StoreWatchTests.this.configuration.revision(), is((long) changes));
		}

	}

	/**
	 * A store of which only watches are used.
	 */
	private final class WatchedStore implements ConfigurationStore {

		private final Supplier<CompletableFuture<WatchResult>> responses;

		WatchedStore(Supplier<CompletableFuture<WatchResult>> responses) {
			this.responses = responses;
		}

		@Override
		public CompletableFuture<WatchResult> watch(String key, long aboveVersion, Duration wait) {
			StoreWatchTests.this.calls++;
			return (StoreWatchTests.this.calls < LAST_CALL) ? this.responses.get() : new CompletableFuture<>();
		}

		@Override
		public CompletableFuture<ReadResult> read(String key) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletableFuture<WriteResult> compareAndSet(String key, long expectedVersion, byte[] value) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletableFuture<WriteResult> compareAndSet(String key, long expectedVersion, byte[] value,
				String leaseId) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletableFuture<WriteResult> delete(String key, long expectedVersion) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletableFuture<LeaseResult> createLease(Duration ttl) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletableFuture<LeaseResult> renewLease(String leaseId) {
			throw new UnsupportedOperationException();
		}

	}

}
