package org.baobabknot.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.baobabknot.emulator.EmulatedConfiguration;
import org.baobabknot.emulator.EmulatedEngine;
import org.baobabknot.emulator.EmulatedStore;
import org.baobabknot.settings.FleetSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Guards against keys that are not confirmed although a restored store has the
 * configuration again.
 */
class ReconfirmedKeysTests {

	private static final long CONFIGURATION_MS = 2_000;

	private static final int GATEWAYS = 8;

	private static final long LINK_BYTES_PER_SECOND = 50_000_000;

	/** Changes that the store forgets, beside those of the test. */
	private static final int FORGOTTEN_CHANGES = 20;

	private final GatewayFleet fleet = new GatewayFleet(LINK_BYTES_PER_SECOND,
			new FleetSettings.Bounds(CONFIGURATION_MS, 5_000, 8_000, 8_000, 0.2, 10_000, 200, 1.5, 5, 1_200));

	private final EmulatedStore store = this.fleet.store;

	private EmulatedEngine target;

	@BeforeEach
	void start() throws Exception {
		this.target = new EmulatedEngine(this.fleet.targetGroup(), "127.0.0.1", "t1", "plain", "a", "", 0);
		this.fleet.configure(configuration(1, "key-1", "key-2"));
		this.store.putTarget(this.target, "ready");
		this.fleet.start(GATEWAYS);
		this.fleet.awaitVersion(1);
		GatewayFixture.await(() -> this.fleet.gateways.stream()
			.allMatch(
					(gateway) -> GatewayFleet.onLoop(gateway, () -> gateway.view().entryInstances()).size() == GATEWAYS
							&& gateway.view().target("t1").isPresent()));
	}

	@AfterEach
	void stop() {
		this.target.close();
		this.fleet.close();
	}

	private static EmulatedConfiguration configuration(long version, String... keys) {
		return new EmulatedConfiguration(version).route("reads", "safe", "plain", 2_000)
			.plainService("plain")
			.workspace("w", keys);
	}

	private void forgetChanges(EmulatedStore.Copy copy) {
		for (int number = 0; number < FORGOTTEN_CHANGES; number++) {
			this.store.putTarget("gone-" + number, "not an entry");
		}
		this.store.restore(copy);
	}

	private void forgetChangesInAnOutage(EmulatedStore.Copy copy, long outageMs) throws InterruptedException {
		this.store.refuseCalls(503);
		TimeUnit.MILLISECONDS.sleep(outageMs);
		forgetChanges(copy);
		this.store.refuseCalls(0);
	}

	private static boolean within(long timeMs, BooleanSupplier condition) throws InterruptedException {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeMs);
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > end) {
				return false;
			}
			Thread.sleep(5);
		}
		return true;
	}

	@Nested
	class Keys {

		private static final long OUTAGE_MS = 5_000;

		private static final long CONFIRMATION_MS = 1_000;

		@Test
		void areConfirmedSoonAfterTheConfigurationWasWrittenAgain() throws Exception {
			EmulatedStore.Copy copy = ReconfirmedKeysTests.this.store.copy();
			ReconfirmedKeysTests.this.store.setDomainOut("b", true);
			ReconfirmedKeysTests.this.fleet.configure(configuration(2, "key-1"));
			ReconfirmedKeysTests.this.fleet.awaitVersion(2);
			forgetChangesInAnOutage(copy, OUTAGE_MS);
			ReconfirmedKeysTests.this.fleet.configure(configuration(2, "key-1"));
			assertThat(
					within(CONFIRMATION_MS,
							() -> ReconfirmedKeysTests.this.fleet.countGatewaysWithFreshKeys() >= GATEWAYS / 2),
					is(true));
			assertThat(within(CONFIRMATION_MS,
					() -> ReconfirmedKeysTests.this.fleet.countGatewaysWithFreshKeys() == GATEWAYS), is(true));
		}

	}

}
