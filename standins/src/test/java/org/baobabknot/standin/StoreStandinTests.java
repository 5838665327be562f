package org.baobabknot.standin;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.baobabknot.standin.store.StoreSettings;
import org.baobabknot.standin.store.StoreStandin;
import org.baobabknot.store.ConfigurationStore;
import org.baobabknot.store.HttpConfigurationStore;
import org.baobabknot.store.LeaseResult;
import org.baobabknot.store.ReadResult;
import org.baobabknot.store.WatchResult;
import org.baobabknot.store.WriteResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests the adapter of the store against the store stand-in.
 */
class StoreStandinTests {

	private static final String KEY = "baobabknot/rules and more";

	private final StandinFixture fixture = new StandinFixture();

	private StandinServer server;

	private ConfigurationStore store;

	@BeforeEach
	void start() {
		start(StoreSettings.defaults());
	}

	private void start(StoreSettings settings) {
		this.server = this.fixture.start(new StoreStandin(settings));
		this.store = new HttpConfigurationStore(this.fixture.client(this.server.port()), Duration.ofSeconds(5));
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
	}

	private static <T> T await(CompletableFuture<T> future) throws Exception {
		return future.get(30, TimeUnit.SECONDS);
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	@Nested
	class Writes {

		// Guards against reporting success to both of two operators that write
		// concurrently.
		@Test
		void onlyOneOfTwoWithTheSameExpectedVersionSucceeds() throws Exception {
			assertThat(await(StoreStandinTests.this.store.compareAndSet(KEY, 0, bytes("a"))),
					equalTo(new WriteResult.Written(1)));
			assertThat(await(StoreStandinTests.this.store.compareAndSet(KEY, 0, bytes("b"))),
					equalTo(new WriteResult.Conflict(1)));
			ReadResult.Found found = (ReadResult.Found) await(StoreStandinTests.this.store.read(KEY));
			assertThat(new String(found.value().value(), StandardCharsets.UTF_8), equalTo("a"));
			assertThat(found.value().key(), equalTo(KEY));
		}

		// Guards against reporting a write as failed when only its response was lost.
		@Test
		void writeWithALostResponseIsUnknownAndTakesEffect() throws Exception {
			StoreStandinTests.this.server.activateFault(StandinFixture.fault("lost_answer").put("times", 1));
			assertThat(await(StoreStandinTests.this.store.compareAndSet(KEY, 0, bytes("a"))),
					instanceOf(WriteResult.Unknown.class));
			assertThat(await(StoreStandinTests.this.store.read(KEY)), instanceOf(ReadResult.Found.class));
			assertThat(await(StoreStandinTests.this.store.compareAndSet(KEY, 1, bytes("b"))),
					equalTo(new WriteResult.Written(2)));
		}

		// Guards against reusing a version after a delete.
		@Test
		void versionsRiseOverDeletes() throws Exception {
			await(StoreStandinTests.this.store.compareAndSet(KEY, 0, bytes("a")));
			assertThat(await(StoreStandinTests.this.store.delete(KEY, 1)), equalTo(new WriteResult.Written(0)));
			assertThat(await(StoreStandinTests.this.store.read(KEY)), instanceOf(ReadResult.Absent.class));
			assertThat(await(StoreStandinTests.this.store.compareAndSet(KEY, 0, bytes("b"))),
					equalTo(new WriteResult.Written(2)));
		}

		// Guards against reporting a refusal (outage or rate limit) as an unknown result.
		@Test
		void refusalsAreNotUnknown() throws Exception {
			StoreStandinTests.this.server.activateFault(StandinFixture.fault("outage"));
			assertThat(await(StoreStandinTests.this.store.compareAndSet(KEY, 0, bytes("a"))),
					instanceOf(WriteResult.Failed.class));
			start(new StoreSettings(1, 1));
			await(StoreStandinTests.this.store.compareAndSet("one", 0, bytes("a")));
			assertThat(await(StoreStandinTests.this.store.compareAndSet("two", 0, bytes("a"))),
					instanceOf(WriteResult.Failed.class));
		}

	}

	@Nested
	class Watches {

		// Guards against changes that reach the fleet only through the periodic fallback
		// read.
		@Test
		void returnWhenTheKeyChanges() throws Exception {
			CompletableFuture<WatchResult> watch = StoreStandinTests.this.store.watch(KEY, 0, Duration.ofSeconds(20));
			await(StoreStandinTests.this.store.compareAndSet(KEY, 0, bytes("a")));
			WatchResult.Changed changed = (WatchResult.Changed) await(watch);
			assertThat(changed.value().version(), equalTo(1L));
		}

		// Guards against reporting a watch that ends without a change as failed.
		@Test
		void endAfterTheirWait() throws Exception {
			assertThat(await(StoreStandinTests.this.store.watch(KEY, 0, Duration.ofMillis(50))),
					instanceOf(WatchResult.Unchanged.class));
		}

		// Guards against a watch that never ends because its connection became silent.
		@Test
		void surviveASilentConnection() throws Exception {
			StoreStandinTests.this.server.activateFault(StandinFixture.fault("silent_watch"));
			long start = System.nanoTime();
			assertThat(await(StoreStandinTests.this.store.watch(KEY, 0, Duration.ofMillis(300))),
					instanceOf(WatchResult.Failed.class));
			assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start), greaterThan(2_200L));
			StoreStandinTests.this.server.clearFaults(Optional.empty());
			assertThat(await(StoreStandinTests.this.store.watch(KEY, 0, Duration.ofMillis(50))),
					instanceOf(WatchResult.Unchanged.class));
		}

	}

	@Nested
	class Leases {

		// Guards against a paused holder that keeps using its expired lease.
		@Test
		void expireWithTheirKeys() throws Exception {
			LeaseResult.Granted lease = (LeaseResult.Granted) await(
					StoreStandinTests.this.store.createLease(Duration.ofMillis(150)));
			assertThat(await(StoreStandinTests.this.store.compareAndSet(KEY, 0, bytes("a"), lease.id())),
					equalTo(new WriteResult.Written(1)));
			Thread.sleep(400);
			assertThat(await(StoreStandinTests.this.store.read(KEY)), instanceOf(ReadResult.Absent.class));
			assertThat(await(StoreStandinTests.this.store.renewLease(lease.id())),
					instanceOf(LeaseResult.Expired.class));
			assertThat(await(StoreStandinTests.this.store.compareAndSet(KEY, 0, bytes("a"), lease.id())),
					instanceOf(WriteResult.Failed.class));
		}

	}

	@Nested
	class CommonFaults {

		// Guards against a frozen store that loses the calls it delays.
		@Test
		void freezeHoldsCallsUntilItEnds() throws Exception {
			StoreStandinTests.this.server.activateFault(StandinFixture.fault("freeze"));
			CompletableFuture<ReadResult> read = StoreStandinTests.this.store.read(KEY);
			Thread.sleep(200);
			assertThat(read.isDone(), equalTo(false));
			StoreStandinTests.this.server.clearFaults(Optional.of("freeze"));
			assertThat(await(read), instanceOf(ReadResult.Absent.class));
		}

		// Guards against uncounted calls; operators pay for each call.
		@Test
		void callsAreCounted() throws Exception {
			await(StoreStandinTests.this.store.read(KEY));
			await(StoreStandinTests.this.store.compareAndSet(KEY, 0, bytes("a")));
			assertThat(StoreStandinTests.this.server.record().path("reads").asInt(), equalTo(1));
			assertThat(StoreStandinTests.this.server.record().path("writes").asInt(), equalTo(1));
			assertThat(StoreStandinTests.this.server.record().path("limited").asInt(), lessThan(1));
		}

	}

}
