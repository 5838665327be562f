package org.baobabknot.loader;

import java.util.concurrent.atomic.AtomicInteger;

import org.baobabknot.emulator.EmulatedEngine;
import org.baobabknot.emulator.EngineBehavior.LoaderCall;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;

/**
 * Guards against an engine that loads chunks of two versions, or a part of one, because
 * its staging area changed between the verification and the acceptance of the order.
 */
class MixedVersionLoadTests {

	private final LoaderFixture fleet = new LoaderFixture();

	private EmulatedEngine engine;

	@BeforeEach
	void start() throws Exception {
		this.engine = this.fleet.startEngine(1, 1);
		this.fleet.startLoader(1, this.engine);
	}

	@AfterEach
	void stop() {
		this.engine.close();
		this.fleet.close();
	}

	// Announces the next version at one call of the loader.
	private void announceAt(LoaderCall kind, int count, long version) {
		AtomicInteger calls = new AtomicInteger();
		this.engine.loaderCallListener = (call) -> {
			if (call == kind && calls.incrementAndGet() == count) {
				new Thread(() -> this.fleet.announce(version)).start();
			}
		};
	}

	private void assertNoMixOnTheWayTo(long version) throws InterruptedException {
		this.fleet.awaitVersion(this.engine, version);
		assertThat(this.fleet.mixedLoads(this.engine), empty());
	}

	@Nested
	class NextVersionAnnounced {

		@Test
		void whileTheOrderWaitsAtTheEngine() throws Exception {
			MixedVersionLoadTests.this.engine.orderDelayMs = 1_300;
			announceAt(LoaderCall.LOAD_ORDER, 1, 3);
			MixedVersionLoadTests.this.fleet.announce(2);
			assertNoMixOnTheWayTo(3);
		}

		@Test
		void whileAnOrderThatTheLoaderHasGivenUpWaitsAtTheEngine() throws Exception {
			MixedVersionLoadTests.this.engine.orderDelayMs = 2_500;
			announceAt(LoaderCall.LOAD_ORDER, 1, 3);
			MixedVersionLoadTests.this.fleet.announce(2);
			EmulatedEngine target = MixedVersionLoadTests.this.engine;
			MixedVersionLoadTests.this.fleet.await("an order", () -> !target.acceptedLoads().isEmpty());
			MixedVersionLoadTests.this.engine.orderDelayMs = 0;
			assertNoMixOnTheWayTo(3);
		}

		@Test
		void atEachMomentOfTheVerification() throws Exception {
			long version = 1;
			for (int read = 1; read <= LoaderFixture.CHUNKS; read += 3) {
				MixedVersionLoadTests.this.engine.stagingDelayMs = 10;
				MixedVersionLoadTests.this.engine.orderDelayMs = 50;
				announceAt(LoaderCall.CHUNK_READ, read, version + 2);
				MixedVersionLoadTests.this.fleet.announce(version + 1);
				version += 2;
				assertNoMixOnTheWayTo(version);
			}
		}

		@Test
		void whileTheEngineIsSilent() throws Exception {
			AtomicInteger calls = new AtomicInteger();
			MixedVersionLoadTests.this.engine.loaderCallListener = (call) -> {
				if (call == LoaderCall.CHUNK_WRITE && calls.incrementAndGet() == 3) {
					MixedVersionLoadTests.this.engine.fallSilent(2_000);
					new Thread(() -> MixedVersionLoadTests.this.fleet.announce(3)).start();
				}
			};
			MixedVersionLoadTests.this.fleet.announce(2);
			assertNoMixOnTheWayTo(3);
		}

	}

	@Nested
	class EngineRestarted {

		@Test
		void betweenTheLastVerifiedChunkAndTheOrder() throws Exception {
			AtomicInteger reads = new AtomicInteger();
			EmulatedEngine target = MixedVersionLoadTests.this.engine;
			target.loaderCallListener = (call) -> {
				if (call == LoaderCall.CHUNK_READ && target.stagePuts() >= LoaderFixture.CHUNKS
						&& reads.incrementAndGet() == LoaderFixture.CHUNKS) {
					// Runs when the response to this call was sent.
					new Thread(target::restartEmpty).start();
				}
			};
			MixedVersionLoadTests.this.fleet.announce(2);
			assertNoMixOnTheWayTo(2);
		}

	}

	@Nested
	class LoaderRestarted {

		// The predecessor's order is still at the engine, and a version follows.
		@Test
		void withAnOrderUnderWay() throws Exception {
			EmulatedEngine target = MixedVersionLoadTests.this.engine;
			target.orderDelayMs = 1_800;
			AtomicInteger orders = new AtomicInteger();
			target.loaderCallListener = (call) -> {
				if (call == LoaderCall.LOAD_ORDER) {
					orders.incrementAndGet();
				}
			};
			MixedVersionLoadTests.this.fleet.announce(2);
			MixedVersionLoadTests.this.fleet.await("an order", () -> orders.get() > 0);
			MixedVersionLoadTests.this.fleet.killLoader(1);
			MixedVersionLoadTests.this.fleet.announce(3);
			MixedVersionLoadTests.this.fleet.startLoader(1, target);
			assertNoMixOnTheWayTo(3);
		}

	}

}
