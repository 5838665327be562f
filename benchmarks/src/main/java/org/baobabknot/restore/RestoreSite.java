package org.baobabknot.restore;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.baobabknot.emulator.EmulatedConfiguration;
import org.baobabknot.emulator.EmulatedEngine;
import org.baobabknot.emulator.EmulatedStore;
import org.baobabknot.experiment.FreePorts;
import org.baobabknot.fleet.StoreRates;
import org.baobabknot.gateway.Gateway;
import org.baobabknot.loader.Loader;
import org.baobabknot.observe.DecisionLog;
import org.baobabknot.settings.FleetSettings;

/**
 * Gateways and loaders in this process, before an emulated store that can go back to a
 * copy.
 */
final class RestoreSite implements AutoCloseable {

	private static final int HTTP_UNAVAILABLE = 503;

	private static final int EVENT_LOOPS = 4;

	private static final int PORTS_PER_GATEWAY = 4;

	private static final long START_TIMEOUT_SECONDS = 20;

	private static final long LINK_BYTES_PER_SECOND = 50_000_000;

	private static final int ROUTE_TIMEOUT_MS = 2_000;

	private static final String ENTRIES_PREFIX = "baobabknot/entries/";

	private static final String MODEL = "model";

	private static final String READS = "reads";

	private static final FleetSettings.Bounds BOUNDS = new FleetSettings.Bounds(2_000, 5_000, 8_000, 8_000, 0.2, 10_000,
			200, 1.5, 5, 1_200);

	private static final StoreRates STORE_RATES = new StoreRates(400, 2_000);

	private final EventLoopGroup serverGroup = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());

	private final EmulatedStore store = new EmulatedStore(this.serverGroup);

	private final List<EmulatedEngine> engines = new ArrayList<>();

	private final List<Integer> callerPorts = new ArrayList<>();

	private final int routes;

	private long version;

	/**
	 * Creates a site without processes.
	 * @param routes number of routes that make the configuration large
	 */
	RestoreSite(int routes) {
		this.routes = routes;
		this.store.limitBandwidth(LINK_BYTES_PER_SECOND);
	}

	void start(int gateways, int loaders) throws InterruptedException, ExecutionException, TimeoutException {
		writeConfiguration();
		for (int number = 0; number < loaders + 1; number++) {
			boolean plain = number == loaders;
			this.engines.add(new EmulatedEngine(this.serverGroup, (plain) ? "127.0.0.1" : engineHost(number),
					"engine-" + number, (plain) ? "plain" : "models", "a", (plain) ? "" : MODEL, (plain) ? 0 : 1));
		}
		writeTargets();
		List<Integer> ports = FreePorts.find(PORTS_PER_GATEWAY * gateways + loaders + 1);
		for (int number = 0; number < gateways; number++) {
			startGateway(number, ports.subList(PORTS_PER_GATEWAY * number, PORTS_PER_GATEWAY * (number + 1)));
		}
		int peerPort = ports.get(PORTS_PER_GATEWAY * gateways);
		for (int number = 0; number < loaders; number++) {
			startLoader(number, peerPort, ports.get(PORTS_PER_GATEWAY * gateways + 1 + number));
		}
	}

	private static String engineHost(int number) {
		return "127.0.3." + (number + 1);
	}

	private void startGateway(int number, List<Integer> ports)
			throws InterruptedException, ExecutionException, TimeoutException {
		String name = "gateway-" + number;
		FleetSettings settings = new FleetSettings(FleetSettings.FleetRole.GATEWAY, name, "a", "ra", Map.of("a", "ra"),
				"127.0.0.1", Optional.of(new FleetSettings.HostPort("127.0.0.1", ports.get(0))),
				Optional.of(new FleetSettings.HostPort("127.0.0.1", ports.get(1))), address(this.store.address()),
				STORE_RATES, Optional.empty(), ports.get(2), ports.get(3), BOUNDS,
				new FleetSettings.Resources(1_000, LINK_BYTES_PER_SECOND));
		new Gateway(settings, this.group, new DecisionLog(name, OutputStream.nullOutputStream())).start()
			.get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
		this.callerPorts.add(ports.get(0));
	}

	private void startLoader(int number, int peerPort, int metricsPort)
			throws InterruptedException, ExecutionException, TimeoutException {
		String name = "loader-" + number;
		FleetSettings settings = new FleetSettings(FleetSettings.FleetRole.LOADER, name, "a", "ra", Map.of("a", "ra"),
				engineHost(number), Optional.empty(), Optional.empty(), address(this.store.address()), STORE_RATES,
				Optional.of(new FleetSettings.LocalEngine(address(this.engines.get(number).address()), "models")),
				peerPort, metricsPort, BOUNDS, new FleetSettings.Resources(1_000, LINK_BYTES_PER_SECOND));
		new Loader(settings, this.group, new DecisionLog(name, OutputStream.nullOutputStream())).start()
			.get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	private static FleetSettings.HostPort address(String text) {
		int colon = text.lastIndexOf(':');
		return new FleetSettings.HostPort(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

	List<Integer> callerPorts() {
		return List.copyOf(this.callerPorts);
	}

	/**
	 * Writes a configuration with a route that no earlier one has.
	 * @return path of a request that this route allows
	 */
	String writeConfiguration() {
		this.version++;
		String added = "added-" + this.version;
		this.store
			.putConfiguration(new EmulatedConfiguration(this.version).route(READS, "safe", "plain", ROUTE_TIMEOUT_MS)
				.route(added, "safe", "plain", ROUTE_TIMEOUT_MS)
				.routes(this.routes, "plain")
				.plainService("plain")
				.modelService("models", MODEL, 4, 64)
				.workspace("workspace", "key-1"));
		return "/" + added + "/x";
	}

	/**
	 * Returns the path of a request that all configurations allow.
	 * @return the path
	 */
	static String path() {
		return "/" + READS + "/x";
	}

	void writeTargets() {
		this.engines.forEach((engine) -> this.store.putTarget(engine, "ready"));
		this.store.announceVersion(MODEL, 1);
	}

	EmulatedStore.Copy copyStore() {
		return this.store.copy();
	}

	void takeStoreAway() {
		this.store.refuseCalls(HTTP_UNAVAILABLE);
	}

	void restoreStore(EmulatedStore.Copy copy) {
		this.store.restore(copy);
		this.store.refuseCalls(0);
	}

	int storeCalls() {
		return this.store.calls();
	}

	int configurationReads() {
		return this.store.configurationReads();
	}

	long storeBytes() {
		return this.store.linkSentBytes();
	}

	int registeredGateways() {
		return this.store.keys(ENTRIES_PREFIX).size();
	}

	@Override
	public void close() {
		this.engines.forEach(EmulatedEngine::close);
		this.store.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
		this.serverGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

}
