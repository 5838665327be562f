package org.baobabknot.gateway;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.baobabknot.emulator.EmulatedConfiguration;
import org.baobabknot.emulator.EmulatedStore;
import org.baobabknot.emulator.TestPorts;
import org.baobabknot.fleet.FleetConfiguration;
import org.baobabknot.fleet.StoreRates;
import org.baobabknot.observe.DecisionLog;
import org.baobabknot.settings.FleetSettings;

/**
 * Fixture with several gateways of one region that share a link to an emulated store.
 */
final class GatewayFleet implements AutoCloseable {

	private static final long TIMEOUT_SECONDS = 40;

	private final EventLoopGroup storeGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoopGroup group;

	private final FleetSettings.Bounds bounds;

	final EmulatedStore store = new EmulatedStore(this.storeGroup);

	final List<Gateway> gateways = new ArrayList<>();

	/** Ports for callers, in the order of the gateways. */
	final List<Integer> callerPorts = new ArrayList<>();

	GatewayFleet(long linkBytesPerSecond, FleetSettings.Bounds bounds) {
		this(linkBytesPerSecond, bounds, 2);
	}

	/**
	 * Creates a fleet without gateways.
	 * @param linkBytesPerSecond rate of the link to the store
	 * @param bounds bounds of the gateways
	 * @param loops event loops among which the gateways are divided
	 */
	GatewayFleet(long linkBytesPerSecond, FleetSettings.Bounds bounds, int loops) {
		this.group = new MultiThreadIoEventLoopGroup(loops, NioIoHandler.newFactory());
		this.store.limitBandwidth(linkBytesPerSecond);
		this.bounds = bounds;
	}

	/**
	 * Starts further gateways, named {@code entry-0}, {@code entry-1} and so on.
	 * @param count number of gateways
	 */
	void start(int count) {
		start(count, "a");
	}

	/**
	 * Starts further gateways in a failure domain that is a region of its own.
	 * @param count number of gateways
	 * @param domain {@code a} or {@code b}, the region of which is {@code ra} or
	 * {@code rb}
	 */
	void start(int count, String domain) {
		int end = this.gateways.size() + count;
		for (int index = this.gateways.size(); index < end; index++) {
			FleetSettings.HostPort callerAddress = freePort();
			this.callerPorts.add(callerAddress.port());
			FleetSettings settings = new FleetSettings(FleetSettings.FleetRole.GATEWAY, "entry-" + index, domain,
					"r" + domain, Map.of("a", "ra", "b", "rb"), "127.0.0.1", Optional.of(callerAddress),
					Optional.of(freePort()), GatewayFixture.address(this.store.address()), StoreRates.UNKNOWN,
					Optional.empty(), TestPorts.findFree(), TestPorts.findFree(), this.bounds,
					new FleetSettings.Resources(1_000, 1_000_000));
			Gateway gateway = new Gateway(settings, this.group,
					new DecisionLog(settings.instance(), OutputStream.nullOutputStream()));
			this.gateways.add(gateway);
			gateway.start();
		}
	}

	private static FleetSettings.HostPort freePort() {
		return new FleetSettings.HostPort("127.0.0.1", TestPorts.findFree());
	}

	/**
	 * Returns the event loops of the store, which targets may share.
	 * @return the group
	 */
	EventLoopGroup targetGroup() {
		return this.storeGroup;
	}

	void configure(EmulatedConfiguration configuration) {
		this.store.putConfiguration(configuration);
	}

	/**
	 * Waits until all gateways have a version of the configuration or a newer one.
	 * @param version the version
	 * @return elapsed time in ms, at least the timeout if it was not reached
	 */
	long awaitVersion(long version) throws InterruptedException {
		long startNanos = System.nanoTime();
		long deadlineNanos = startNanos + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
		while (System.nanoTime() < deadlineNanos
				&& this.gateways.stream().anyMatch((gateway) -> configurationVersion(gateway) < version)) {
			Thread.sleep(5);
		}
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
	}

	/**
	 * Counts the gateways whose keys were confirmed recently enough to admit requests.
	 * @return number of gateways
	 */
	long countGatewaysWithFreshKeys() {
		return this.gateways.stream().filter(Gateway::keysFresh).count();
	}

	/**
	 * Reads the state of a gateway on its event loop, which changes it.
	 * @param <T> type of what is read
	 * @param gateway the gateway
	 * @param read what reads it
	 * @return what was read
	 */
	static <T> T onLoop(Gateway gateway, Callable<T> read) {
		return gateway.loop().submit(read).syncUninterruptibly().getNow();
	}

	static long configurationVersion(Gateway gateway) {
		return gateway.view().configuration().map(FleetConfiguration::version).orElse(0L);
	}

	@Override
	public void close() {
		this.store.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
		this.storeGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

}
