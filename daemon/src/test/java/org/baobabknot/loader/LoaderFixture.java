package org.baobabknot.loader;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.baobabknot.emulator.EmulatedConfiguration;
import org.baobabknot.emulator.EmulatedEngine;
import org.baobabknot.emulator.EmulatedOrigin;
import org.baobabknot.emulator.EmulatedStagingArea;
import org.baobabknot.emulator.EmulatedStore;
import org.baobabknot.emulator.TestPorts;
import org.baobabknot.fleet.StoreRates;
import org.baobabknot.observe.DecisionLog;
import org.baobabknot.settings.FleetSettings;

/**
 * Loaders on loopback, each with an engine of its own, before an emulated store and
 * origin.
 */
final class LoaderFixture implements AutoCloseable {

	static final int CHUNKS = 24;

	private static final long TIMEOUT_SECONDS = 20;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

	private final EmulatedStore store = new EmulatedStore(this.group);

	private final EmulatedOrigin origin = new EmulatedOrigin(this.group, CHUNKS, 2_048);

	private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();

	private final int peerPort = TestPorts.findFree();

	private final Map<Integer, EventLoopGroup> loaders = new HashMap<>();

	LoaderFixture() {
		this.store.putConfiguration(
				new EmulatedConfiguration(1).modelService("models", "m", CHUNKS, 2_048).origin(this.origin.address()));
	}

	/**
	 * Starts an engine that has a version loaded and staged.
	 * @param number number of the instance
	 * @param version the version
	 * @return the engine
	 */
	EmulatedEngine startEngine(int number, long version) {
		EmulatedEngine engine = new EmulatedEngine(this.group, host(number), "e" + number, "models", "a", "m", version);
		engine.stageChunks(this.origin.content(version));
		this.store.putTarget(engine, "ready");
		return engine;
	}

	private static String host(int number) {
		return "127.0.1." + number;
	}

	/**
	 * Starts the loader of an engine.
	 * @param number number of the instance
	 * @param engine the engine
	 */
	void startLoader(int number, EmulatedEngine engine) throws Exception {
		FleetSettings settings = new FleetSettings(FleetSettings.FleetRole.LOADER, "loader-" + number, "a", "ra",
				Map.of("a", "ra"), host(number), Optional.empty(), Optional.empty(), address(this.store.address()),
				StoreRates.UNKNOWN, Optional.of(new FleetSettings.LocalEngine(address(engine.address()), "models")),
				this.peerPort, TestPorts.findFree(),
				new FleetSettings.Bounds(2_000, 5_000, 2_000, 8_000, 0.2, 10_000, 200, 1.5, 5, 1_200),
				new FleetSettings.Resources(1_000, 50_000_000));
		EventLoopGroup loaderGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		this.loaders.put(number, loaderGroup);
		new Loader(settings, loaderGroup, new DecisionLog("loader-" + number, this.logOutput)).start()
			.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	/**
	 * Ends a loader without notice, as by a kill.
	 * @param number number of the instance
	 */
	void killLoader(int number) {
		EventLoopGroup loader = this.loaders.remove(number);
		loader.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	private static FleetSettings.HostPort address(String text) {
		int colon = text.lastIndexOf(':');
		return new FleetSettings.HostPort(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

	void announce(long version) {
		this.store.announceVersion("m", version);
	}

	/**
	 * Waits until an engine runs a version.
	 * @param engine the engine
	 * @param version the version
	 */
	void awaitVersion(EmulatedEngine engine, long version) throws InterruptedException {
		await("version " + version, () -> engine.version() == version);
	}

	void await(String what, BooleanSupplier condition) throws InterruptedException {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > end) {
				throw new AssertionError(what + " not within " + TIMEOUT_SECONDS + " s\n" + this.logOutput);
			}
			Thread.sleep(5);
		}
	}

	/**
	 * Finds the accepted load orders whose staged chunks were not all of the ordered
	 * version.
	 * @param engine the engine
	 * @return one text for each, empty if there was none
	 */
	List<String> mixedLoads(EmulatedEngine engine) {
		return engine.acceptedLoads()
			.stream()
			.filter((load) -> wrongChunks(load) > 0)
			.map((load) -> "version " + load.version() + ": " + wrongChunks(load) + " chunks missing or of another one")
			.toList();
	}

	private long wrongChunks(EmulatedStagingArea.AcceptedLoad load) {
		List<byte[]> content = this.origin.content(load.version());
		long wrong = 0;
		for (int index = 0; index < CHUNKS; index++) {
			wrong += Arrays.equals(content.get(index), load.chunks().get(index)) ? 0 : 1;
		}
		return wrong;
	}

	@Override
	public void close() {
		List.copyOf(this.loaders.keySet()).forEach(this::killLoader);
		this.origin.close();
		this.store.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

}
