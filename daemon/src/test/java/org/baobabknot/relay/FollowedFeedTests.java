package org.baobabknot.relay;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.baobabknot.emulator.EmulatedConfiguration;
import org.baobabknot.emulator.EmulatedEngine;
import org.baobabknot.emulator.EmulatedStore;
import org.baobabknot.fleet.FleetView;
import org.baobabknot.provider.FleetFeed;
import org.baobabknot.provider.ItemRelay;
import org.baobabknot.provider.ItemSnapshot;
import org.baobabknot.provider.StoreClient;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of a gateway that follows another one.
 */
class FollowedFeedTests {

	/**
	 * Time in which a removal is seen, well below that for entries that may come back.
	 */
	private static final long SOON_MS = 1_200;

	/** Time after a start in which a removal may be one of an outage before. */
	private static final long START_MS = 2_200;

	/** Time of a watch that does not end within a test. */
	private static final long LONG_WATCH_MS = 30_000;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private final EmulatedStore store = new EmulatedStore(this.group);

	private final FleetView view = new FleetView(Map.of("a", "ra"));

	private volatile boolean sourceConnected = true;

	private @Nullable EmulatedEngine engine;

	@AfterEach
	void stop() {
		if (this.engine != null) {
			this.engine.close();
		}
		this.store.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	private boolean within(long timeMs, BooleanSupplier condition) throws Exception {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeMs);
		while (!this.loop.submit(condition::getAsBoolean).get()) {
			if (System.nanoTime() > end) {
				return false;
			}
			Thread.sleep(5);
		}
		return true;
	}

	private FleetFeed start(long confirmMs) throws Exception {
		this.store.putConfiguration(new EmulatedConfiguration(1).plainService("plain"));
		this.engine = new EmulatedEngine(this.group, "127.0.0.1", "t1", "plain", "a", "", 0);
		this.store.putTarget(this.engine, "ready");
		String[] address = this.store.address().split(":");
		StoreClient client = new StoreClient(this.loop, address[0], Integer.parseInt(address[1]),
				StoreClient.Observer.NONE);
		FleetFeed feed = FleetFeed.forGateway(client, new Source(), this.view, this.loop, confirmMs, 0,
				(kind, detail) -> {
				});
		feed.start();
		assertThat(within(5_000, () -> this.view.target("t1").isPresent() && feed.isConnected()), is(true));
		Thread.sleep(START_MS);
		return feed;
	}

	/** Guards against requests to targets that left while this process was cut off. */
	@Test
	void theTargetsAreReadAgainAsSoonAsTheStoreIsReachedAfterACut() throws Exception {
		FleetFeed feed = start(LONG_WATCH_MS);
		this.store.dropWatchesSilently();
		this.sourceConnected = false;
		assertThat(within(5_000, () -> !feed.isConnected()), is(true));
		this.store.removeTarget("t1");
		this.sourceConnected = true;
		assertThat(within(SOON_MS, () -> this.view.target("t1").isEmpty()), is(true));
		feed.stop();
	}

	@Test
	void theTargetsAreReadAgainWhenTheAgeOfTheViewIsInDoubt() throws Exception {
		FleetFeed feed = start(LONG_WATCH_MS);
		this.store.dropWatchesSilently();
		this.store.removeTarget("t1");
		this.loop.execute(feed::confirmNow);
		assertThat(within(SOON_MS, () -> this.view.target("t1").isEmpty()), is(true));
		feed.stop();
	}

	@Test
	void aTargetThatIsRemovedWhileOnlyTheSourceLostTheStoreIsGoneAtOnce() throws Exception {
		FleetFeed feed = start(1_000);
		this.sourceConnected = false;
		assertThat(within(5_000, () -> !feed.isConnected()), is(true));
		this.sourceConnected = true;
		assertThat(within(5_000, feed::isConnected), is(true));
		this.store.removeTarget("t1");
		assertThat(within(SOON_MS, () -> this.view.target("t1").isEmpty()), is(true));
		feed.stop();
	}

	/** Follows a process whose way to the store is cut now and then. */
	private final class Source implements ItemRelay {

		@Override
		public boolean shouldReadStore() {
			return false;
		}

		@Override
		public void onStoreReached() {
		}

		@Override
		public CompletableFuture<Optional<ItemSnapshot>> poll(String prefix, Map<String, Long> known, long waitMs,
				long ageMs) {
			CompletableFuture<Optional<ItemSnapshot>> result = new CompletableFuture<>();
			ItemSnapshot now = new ItemSnapshot(5, known, List.of(), FollowedFeedTests.this.sourceConnected, 10);
			FollowedFeedTests.this.loop.schedule(() -> result.complete(Optional.of(now)), 50, TimeUnit.MILLISECONDS);
			return result;
		}

	}

}
