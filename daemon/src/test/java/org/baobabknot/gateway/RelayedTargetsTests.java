package org.baobabknot.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.baobabknot.emulator.EmulatedConfiguration;
import org.baobabknot.emulator.EmulatedEngine;
import org.baobabknot.settings.FleetSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of how the gateways of a region follow the list of targets. The load is one list
 * that changes for all gateways at the same time; each call to the store has a cost.
 */
class RelayedTargetsTests {

	private static final int GATEWAYS = 8;

	/** Gateways of a region that may watch the store themselves. */
	private static final int MAX_READERS = 2;

	/** Fast enough not to delay a list of targets. */
	private static final long LINK_BYTES_PER_SECOND = 50_000_000;

	private static final long SETTLE_MS = 5_000;

	/**
	 * A leaving target may get requests for 2 s, of which the store's batch takes 0.8 s.
	 */
	private static final long MAX_CHANGE_MS = 1_200;

	/**
	 * Time after connections fall silent in which no machine counts as in touch with the
	 * store.
	 */
	private static final long MAX_CHANGE_AFTER_SILENCE_MS = 3_000;

	private final EventLoopGroup engineGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final Map<String, EmulatedEngine> engines = new HashMap<>();

	private final GatewayFleet fleet = new GatewayFleet(LINK_BYTES_PER_SECOND,
			new FleetSettings.Bounds(2_000, 5_000, 8_000, 8_000, 0.2, 10_000, 200, 1.5, 5, 1_200));

	@BeforeEach
	void start() throws Exception {
		this.fleet.configure(new EmulatedConfiguration(1).plainService("plain"));
		putTarget("t1", "ready");
		this.fleet.start(GATEWAYS);
		assertThat(within(SETTLE_MS, () -> allList("t1")), is(true));
		assertThat(within(SETTLE_MS, () -> this.fleet.store.pendingTargetWatches() == MAX_READERS), is(true));
	}

	@AfterEach
	void stop() {
		this.fleet.close();
		this.engines.values().forEach(EmulatedEngine::close);
		this.engineGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	private void putTarget(String id, String state) {
		EmulatedEngine engine = this.engines.computeIfAbsent(id,
				(name) -> new EmulatedEngine(this.engineGroup, "127.0.0.1", name, "plain", "a", "", 0));
		this.fleet.store.putTarget(engine, state);
	}

	private boolean allList(String id) {
		return this.fleet.gateways.stream().allMatch((gateway) -> lists(gateway, id));
	}

	private static boolean lists(Gateway gateway, String id) {
		return gateway.loop().submit(() -> gateway.view().target(id).isPresent()).syncUninterruptibly().getNow();
	}

	private boolean anyLists(String id) {
		return this.fleet.gateways.stream().anyMatch((gateway) -> lists(gateway, id));
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

	@Test
	void changesReachAllGatewaysInTime() throws Exception {
		putTarget("t2", "ready");
		assertThat(within(MAX_CHANGE_MS, () -> allList("t2")), is(true));
		putTarget("t1", "draining");
		this.fleet.store.removeTarget("t1");
		assertThat(within(MAX_CHANGE_MS, () -> !anyLists("t1")), is(true));
	}

	@Test
	void mostGatewaysSendNoCallsForAChange() throws Exception {
		int before = this.fleet.store.calls();
		for (int index = 2; index < 7; index++) {
			putTarget("t" + index, "ready");
			Thread.sleep(400);
		}
		int calls = this.fleet.store.calls() - before;
		// Two seconds: a watch of the targets and one of the operators' items each 0.8 s
		// at
		// most by each reader, and a lease renewal and a read of the entries by all.
		assertThat(calls, is(lessThanOrEqualTo(MAX_READERS * 2 * 4 + 2 * GATEWAYS)));
	}

	@Test
	void aChangeReachesAllGatewaysAfterTheWatchesFellSilent() throws Exception {
		this.fleet.store.dropWatchesSilently();
		putTarget("t1", "draining");
		this.fleet.store.removeTarget("t1");
		assertThat(within(MAX_CHANGE_AFTER_SILENCE_MS, () -> !anyLists("t1")), is(true));
	}

}
