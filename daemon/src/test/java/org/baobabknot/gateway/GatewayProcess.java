package org.baobabknot.gateway;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.baobabknot.daemon.FleetProcess;
import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.emulator.EmulatedConfiguration;
import org.baobabknot.emulator.EmulatedEngine;
import org.baobabknot.emulator.EmulatedStore;
import org.baobabknot.emulator.TestPorts;

/**
 * A gateway in a process of its own, with emulated targets and an emulated store, for
 * tests of what callers get when the process ends.
 */
final class GatewayProcess implements AutoCloseable {

	static final String MODEL = "m";

	/** Time between SIGTERM and SIGKILL that the settings announce. */
	static final long SHUTDOWN_MS = 8_000;

	private static final long START_TIMEOUT_SECONDS = 30;

	private static final long POLL_MS = 20;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EmulatedStore store = new EmulatedStore(this.group);

	private final List<EmulatedEngine> engines = new ArrayList<>();

	private final int port = TestPorts.findFree();

	private final long shutdownMs;

	private final Path log;

	private final Process process;

	/**
	 * Starts a gateway with a service {@code models} of streams that last up to 14 s and
	 * a service {@code plain}, each with one target, and waits until it is ready.
	 * @param directory directory for its settings and its log
	 * @param jvmOptions options of its virtual machine
	 * @throws Exception if it did not start
	 */
	GatewayProcess(Path directory, String... jvmOptions) throws Exception {
		this(directory, SHUTDOWN_MS, jvmOptions);
	}

	/**
	 * Starts such a gateway with another time for its stop.
	 * @param directory directory for its settings and its log
	 * @param shutdownMs time between SIGTERM and SIGKILL that the settings announce
	 * @param jvmOptions options of its virtual machine
	 * @throws Exception if it did not start
	 */
	GatewayProcess(Path directory, long shutdownMs, String... jvmOptions) throws Exception {
		this.shutdownMs = shutdownMs;
		this.store.putConfiguration(new EmulatedConfiguration(1).route("orders", "unsafe", "plain", 14_000)
			.route("reads", "safe", "plain", 14_000)
			.route("texts", "streaming", "models", 14_000)
			.plainService("plain")
			.modelService("models", MODEL, 4, 64)
			.workspace("w", "key-1"));
		this.store.announceVersion(MODEL, 1);
		addEngine("t1", "models", MODEL, 1);
		addEngine("t2", "plain", "", 0);
		this.log = directory.resolve("gateway.log");
		Path settings = directory.resolve("gateway.json");
		Files.writeString(settings, settings().toString());
		List<String> command = new ArrayList<>(
				List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx96m",
						"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
		command.addAll(List.of(jvmOptions));
		command.addAll(List.of("-cp", System.getProperty("java.class.path"), FleetProcess.class.getName(), "--settings",
				settings.toString()));
		this.process = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(this.log.toFile()).start();
		awaitLog("\"ready\":\"true\"");
	}

	private void addEngine(String id, String service, String model, long version) {
		EmulatedEngine engine = new EmulatedEngine(this.group, "127.0.0.1", id, service, "a", model, version);
		this.engines.add(engine);
		this.store.putTarget(engine, "ready");
	}

	private ObjectNode settings() {
		ObjectNode settings = JsonNodeFactory.instance.objectNode()
			.put("role", "gateway")
			.put("instance", "entry-1")
			.put("failureDomain", "a")
			.put("region", "ra")
			.put("host", "127.0.0.1")
			.put("store", this.store.address())
			.put("peerPort", TestPorts.findFree())
			.put("callers", "127.0.0.1:" + this.port)
			.put("readiness", "127.0.0.1:" + TestPorts.findFree())
			.put("metricsPort", TestPorts.findFree());
		settings.putObject("domains").put("a", "ra");
		settings.putObject("bounds")
			.put("configurationMs", 2_000)
			.put("keyMs", 5_000)
			.put("versionMs", 8_000)
			.put("shutdownMs", this.shutdownMs)
			.put("retryRatio", 0.2)
			.put("retryWindowMs", 10_000)
			.put("retryMinimum", 200)
			.put("coldOvershoot", 1.5)
			.put("coldSlack", 5)
			.put("heartbeatMs", 1_200);
		settings.putObject("resources").put("descriptors", 2_000).put("linkMegabitsPerSecond", 100);
		return settings;
	}

	EmulatedEngine modelEngine() {
		return this.engines.get(0);
	}

	EmulatedEngine plainEngine() {
		return this.engines.get(1);
	}

	int port() {
		return this.port;
	}

	EmulatedCaller caller() throws IOException {
		return new EmulatedCaller(this.port);
	}

	/**
	 * Sends a signal to the process.
	 * @param name name of the signal without the prefix SIG
	 * @throws Exception if it was not sent
	 */
	void signal(String name) throws Exception {
		new ProcessBuilder("kill", "-" + name, Long.toString(this.process.pid())).start().waitFor();
	}

	boolean awaitExit(long timeoutMs) throws InterruptedException {
		return this.process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
	}

	int exitStatus() {
		return this.process.exitValue();
	}

	String log() throws IOException {
		return Files.readString(this.log);
	}

	private void awaitLog(String text) throws Exception {
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_SECONDS);
		while (!log().contains(text)) {
			if (System.nanoTime() > deadlineNanos || !this.process.isAlive()) {
				String written = log();
				close();
				throw new IllegalStateException("the gateway did not start: " + written);
			}
			Thread.sleep(POLL_MS);
		}
	}

	@Override
	public void close() throws InterruptedException {
		this.process.destroyForcibly().waitFor();
		this.engines.forEach(EmulatedEngine::close);
		this.store.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

}
