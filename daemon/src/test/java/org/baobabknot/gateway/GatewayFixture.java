package org.baobabknot.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.emulator.EmulatedConfiguration;
import org.baobabknot.emulator.EmulatedEngine;
import org.baobabknot.emulator.EmulatedStore;
import org.baobabknot.emulator.Silence;
import org.baobabknot.emulator.TestPorts;
import org.baobabknot.fleet.StoreRates;
import org.baobabknot.observe.DecisionLog;
import org.baobabknot.protocol.generated.Admission;
import org.baobabknot.protocol.generated.Load;
import org.baobabknot.protocol.generated.LoadReport;
import org.baobabknot.settings.FleetSettings;

/**
 * Fixture with a gateway, emulated targets and an emulated store.
 */
final class GatewayFixture implements AutoCloseable {

	static final String MODEL = "m";

	/** Time within which a configuration has to be in force. */
	static final long CONFIGURATION_MS = 2_000;

	private static final long TIMEOUT_SECONDS = 15;

	/** Bytes by which an echo may exceed its probe. */
	private static final int MAX_ECHO_OVERHEAD_BYTES = 64;

	final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

	final EmulatedStore store = new EmulatedStore(this.group);

	final List<EmulatedEngine> engines = new ArrayList<>();

	final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();

	final int port = TestPorts.findFree();

	final int readyPort = TestPorts.findFree();

	private final int reportPort = TestPorts.findFree();

	private final Gateway gateway;

	private long nextVersion = 1;

	GatewayFixture() {
		this(5_000);
	}

	GatewayFixture(long keyMs) {
		this(keyMs, Runtime.getRuntime().maxMemory());
	}

	GatewayFixture(long keyMs, long heapBytes) {
		FleetSettings.HostPort storeAddress = address(this.store.address());
		FleetSettings settings = new FleetSettings(FleetSettings.FleetRole.GATEWAY, "entry-1", "a", "ra",
				Map.of("a", "ra", "b", "rb"), "127.0.0.1",
				Optional.of(new FleetSettings.HostPort("127.0.0.1", this.port)),
				Optional.of(new FleetSettings.HostPort("127.0.0.1", this.readyPort)), storeAddress, StoreRates.UNKNOWN,
				Optional.empty(), this.reportPort, TestPorts.findFree(),
				new FleetSettings.Bounds(CONFIGURATION_MS, keyMs, 8_000, 8_000, 0.2, 10_000, 200, 1.5, 5, 1_200),
				new FleetSettings.Resources(1_000, 1_000_000));
		this.gateway = new Gateway(settings, this.group, new DecisionLog("entry-1", this.logOutput), heapBytes);
	}

	static FleetSettings.HostPort address(String text) {
		int colon = text.lastIndexOf(':');
		return new FleetSettings.HostPort(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

	EmulatedEngine addEngine(String id, String service, String domain, String model) {
		EmulatedEngine engine = new EmulatedEngine(this.group, "127.0.0.1", id, service, domain, model,
				(model.isEmpty()) ? 0 : 1);
		this.engines.add(engine);
		return engine;
	}

	EmulatedConfiguration nextConfiguration() {
		return new EmulatedConfiguration(this.nextVersion++).route("orders", "unsafe", "plain", 2_000)
			.route("reads", "safe", "plain", 2_000)
			.route("texts", "streaming", "models", 5_000)
			.plainService("plain")
			.modelService("models", MODEL, 4, 64);
	}

	void configure(EmulatedConfiguration configuration) {
		this.store.putConfiguration(configuration);
	}

	GatewayFixture start() throws Exception {
		configure(nextConfiguration().workspace("w", "key-1", "key-2"));
		this.engines.forEach((engine) -> this.store.putTarget(engine, "ready"));
		this.gateway.start().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		await(() -> this.gateway.view().configuration().isPresent()
				&& this.engines.stream().allMatch((engine) -> this.gateway.view().target(engine.id()).isPresent()));
		return this;
	}

	/**
	 * Sends a load report as the loader on the instance of an engine does.
	 * @param engine the engine
	 * @param requests number of requests that run there
	 * @param acceptsRequests whether the engine starts new requests
	 */
	void reportLoad(EmulatedEngine engine, int requests, boolean acceptsRequests) throws Exception {
		byte[] bytes = LoadReport.newBuilder()
			.setAddress(engine.address())
			.setSequence(System.nanoTime())
			.setLoad(Load.newBuilder()
				.setRunning(requests)
				.setAdmission((acceptsRequests) ? Admission.OPEN : Admission.SWITCHING))
			.build()
			.toByteArray();
		try (DatagramSocket socket = new DatagramSocket()) {
			socket.send(new DatagramPacket(bytes, bytes.length, InetAddress.getLoopbackAddress(), this.reportPort));
		}
		Thread.sleep(100);
	}

	/**
	 * Sends a probe as the loader on the instance of an engine does.
	 * @param engine the engine
	 * @return the echo of the gateway
	 */
	LoadReport probe(EmulatedEngine engine) throws IOException {
		byte[] bytes = LoadReport.newBuilder().setAddress(engine.address()).setProbe(7).build().toByteArray();
		try (DatagramSocket socket = new DatagramSocket()) {
			socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
			socket.send(new DatagramPacket(bytes, bytes.length, InetAddress.getLoopbackAddress(), this.reportPort));
			DatagramPacket echo = new DatagramPacket(new byte[bytes.length + MAX_ECHO_OVERHEAD_BYTES],
					bytes.length + MAX_ECHO_OVERHEAD_BYTES);
			socket.receive(echo);
			return LoadReport.parseFrom(Arrays.copyOf(echo.getData(), echo.getLength()));
		}
	}

	/**
	 * Blocks the event loop of the gateway.
	 * @param durationMs duration in ms
	 */
	void stallEventLoop(long durationMs) {
		this.gateway.loop().execute(() -> {
			try {
				Thread.sleep(durationMs);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
	}

	Gateway gateway() {
		return this.gateway;
	}

	EmulatedCaller caller() throws IOException {
		return new EmulatedCaller(this.port);
	}

	EmulatedCaller.Response call(String method, String path, String id, String headers) throws IOException {
		try (EmulatedCaller caller = caller()) {
			return caller.sendAndRead(method, path, id, headers, (method.equals("GET")) ? "" : "body of " + id);
		}
	}

	EmulatedCaller.Response callStream(String id) throws IOException {
		return call("POST", "/texts/x", id,
				EmulatedCaller.modelHeaders(MODEL, 100, 30) + EmulatedCaller.deadlineHeader(5_000));
	}

	CompletableFuture<EmulatedCaller.Response> callAsync(String method, String path, String id, String headers) {
		return CompletableFuture.supplyAsync(() -> {
			try {
				return call(method, path, id, headers);
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		});
	}

	static void await(BooleanSupplier condition) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > deadlineNanos) {
				throw new AssertionError("condition not met within " + TIMEOUT_SECONDS + " s");
			}
			Thread.sleep(10);
		}
	}

	@Override
	public void close() {
		this.engines.forEach(EmulatedEngine::close);
		this.store.close();
		List<Silence> unplayed = this.engines.stream().flatMap((engine) -> engine.unplayedSilences().stream()).toList();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
		if (!unplayed.isEmpty()) {
			throw new AssertionError("no engine has played: " + unplayed);
		}
	}

}
