package org.baobabknot.gateway;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.baobabknot.emulator.EmulatedConfiguration;
import org.baobabknot.emulator.EmulatedStore;
import org.baobabknot.emulator.TestPorts;
import org.baobabknot.fleet.FleetConfiguration;
import org.baobabknot.observe.DecisionLog;
import org.baobabknot.settings.FleetSettings;

/**
 * The gateways of one region, which reach the store over one link.
 */
final class GatewayFleet implements AutoCloseable {

	private static final long TIMEOUT_SECONDS = 40;

	private final EventLoopGroup storeGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

	private final FleetSettings.Bounds bounds;

	final EmulatedStore store = new EmulatedStore(this.storeGroup);

	final List<Gateway> gateways = new ArrayList<>();

	GatewayFleet(long linkBytesPerSecond, FleetSettings.Bounds bounds) {
		this.store.behindLink(linkBytesPerSecond);
		this.bounds = bounds;
	}

	/**
	 * Starts gateways with the names {@code entry-0} and so on.
	 * @param count their number
	 */
	void start(int count) {
		for (int index = 0; index < count; index++) {
			FleetSettings settings = new FleetSettings(FleetSettings.FleetRole.GATEWAY, "entry-" + index, "a", "ra",
					Map.of("a", "ra"), "127.0.0.1", Optional.of(freePort()), Optional.of(freePort()),
					GatewayFixture.address(this.store.address()), Optional.empty(), TestPorts.free(), TestPorts.free(),
					this.bounds, new FleetSettings.Resources(1_000, 1_000_000));
			Gateway gateway = new Gateway(settings, this.group,
					new DecisionLog(settings.instance(), OutputStream.nullOutputStream()));
			this.gateways.add(gateway);
			gateway.start();
		}
	}

	private static FleetSettings.HostPort freePort() {
		return new FleetSettings.HostPort("127.0.0.1", TestPorts.free());
	}

	void configure(EmulatedConfiguration configuration) {
		this.store.configure(configuration);
	}

	/**
	 * Waits until all gateways have a version of the configuration.
	 * @param version the version
	 * @return the time that it took, in ms, the patience of the test if it did not happen
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
	 * Counts the gateways that trust the keys that they know.
	 * @return their number
	 */
	long countGatewaysWithFreshKeys() {
		return this.gateways.stream().filter(Gateway::keysFresh).count();
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
