package org.baobabknot.gateway;

import java.io.OutputStream;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.baobabknot.emulator.EmulatedConfiguration;
import org.baobabknot.emulator.EmulatedEngine;
import org.baobabknot.emulator.EmulatedStore;
import org.baobabknot.emulator.StoreFault;
import org.baobabknot.emulator.TestPorts;
import org.baobabknot.fleet.StoreRates;
import org.baobabknot.loader.Loader;
import org.baobabknot.observe.DecisionLog;
import org.baobabknot.settings.FleetSettings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Gateways and loaders before a store whose calls are counted after it was restored from
 * a copy.
 */
final class StoreCallFleet implements AutoCloseable {

	private static final int GATEWAYS = 8;

	private static final int LOADERS = 2;

	/** Processes that call the store. */
	static final int PROCESSES = GATEWAYS + LOADERS;

	/** Time in which calls are counted. */
	static final int SECONDS = 5;

	/** Time in which processes that start read more often. */
	private static final int STARTUP_SECONDS = 8;

	private static final int RECOVERY_SECONDS = 10;

	private static final FleetSettings.Bounds BOUNDS = new FleetSettings.Bounds(2_000, 5_000, 8_000, 8_000, 0.2, 10_000,
			200, 1.5, 5, 1_200);

	private final GatewayFleet fleet = new GatewayFleet(50_000_000, BOUNDS);

	private final EmulatedStore store = this.fleet.store;

	private final EmulatedEngine[] engines = new EmulatedEngine[LOADERS];

	void start() throws Exception {
		this.fleet.configure(new EmulatedConfiguration(1).route("reads", "safe", "plain", 2_000)
			.plainService("plain")
			.workspace("w", "key-1"));
		this.fleet.start(GATEWAYS);
		this.fleet.awaitVersion(1);
		for (int number = 0; number < LOADERS; number++) {
			startLoader(number);
		}
		TimeUnit.SECONDS.sleep(STARTUP_SECONDS);
	}

	private void startLoader(int number) throws Exception {
		EmulatedEngine engine = new EmulatedEngine(this.fleet.targetGroup(), "127.0.2." + (number + 1), "e" + number,
				"models", "a", "m", 1);
		this.engines[number] = engine;
		this.store.putTarget(engine, "ready");
		FleetSettings settings = new FleetSettings(FleetSettings.FleetRole.LOADER, "loader-" + number, "a", "ra",
				Map.of("a", "ra"), "127.0.2." + (number + 1), Optional.empty(), Optional.empty(),
				GatewayFixture.address(this.store.address()), StoreRates.UNKNOWN,
				Optional.of(new FleetSettings.LocalEngine(GatewayFixture.address(engine.address()), "models")),
				TestPorts.findFree(), TestPorts.findFree(), BOUNDS, new FleetSettings.Resources(1_000, 50_000_000));
		new Loader(settings, this.fleet.targetGroup(),
				new DecisionLog(settings.instance(), OutputStream.nullOutputStream()))
			.start()
			.get(RECOVERY_SECONDS, TimeUnit.SECONDS);
	}

	@Override
	public void close() {
		for (EmulatedEngine engine : this.engines) {
			engine.close();
		}
		this.fleet.close();
	}

	int callsInTime() throws InterruptedException {
		int before = this.store.calls();
		TimeUnit.SECONDS.sleep(SECONDS);
		return this.store.calls() - before;
	}

	private boolean isRecovered() {
		return this.fleet.countGatewaysWithFreshKeys() == GATEWAYS
				&& this.store.keys("baobabknot/entries/").size() == GATEWAYS
				&& this.fleet.gateways.stream()
					.allMatch((gateway) -> GatewayFleet.onLoop(gateway, () -> gateway.view().entryInstances())
						.size() == GATEWAYS);
	}

	private void awaitRecovery() throws InterruptedException {
		this.store.fault(null);
		this.store.restore(this.store.copy());
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(RECOVERY_SECONDS);
		while (!isRecovered() && System.nanoTime() < end) {
			TimeUnit.MILLISECONDS.sleep(20);
		}
		assertThat("recovered", isRecovered(), is(true));
		TimeUnit.SECONDS.sleep(1);
	}

	int callsAfterRestore(StoreFault fault) throws InterruptedException {
		EmulatedStore.Copy copy = this.store.copy();
		this.store.putTarget("forgotten", "not an entry");
		this.store.fault(fault);
		this.store.restore(copy);
		int calls = callsInTime();
		awaitRecovery();
		return calls;
	}

}
