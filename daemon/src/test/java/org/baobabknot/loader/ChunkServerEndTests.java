package org.baobabknot.loader;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.baobabknot.daemon.FleetProcess;
import org.baobabknot.emulator.EmulatedConfiguration;
import org.baobabknot.emulator.EmulatedEngine;
import org.baobabknot.emulator.EmulatedOrigin;
import org.baobabknot.emulator.EmulatedStore;
import org.baobabknot.emulator.TestPorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests what other loaders get when a loader's process ends while it sends chunks.
 */
class ChunkServerEndTests {

	private static final int CHUNKS = 24;

	private static final long TIMEOUT_SECONDS = 30;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

	private final EmulatedStore store = new EmulatedStore(this.group);

	private final List<EmulatedEngine> engines = new ArrayList<>();

	private final List<Process> processes = new ArrayList<>();

	private final int peerPort = TestPorts.findFree();

	@TempDir
	private Path directory;

	@AfterEach
	void stop() throws Exception {
		for (Process process : this.processes) {
			process.destroyForcibly().waitFor();
		}
		this.engines.forEach(EmulatedEngine::close);
		this.store.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	private EmulatedEngine startLoader(int number, EmulatedOrigin origin, long version, int megabitsPerSecond)
			throws Exception {
		String host = "127.0.2." + number;
		EmulatedEngine engine = new EmulatedEngine(this.group, host, "e" + number, "models", "a", "m", version);
		if (version > 0) {
			engine.stageChunks(origin.content(version));
		}
		this.engines.add(engine);
		this.store.putTarget(engine, "ready");
		Path file = this.directory.resolve("loader-" + number + ".json");
		Files.writeString(file, settings(number, host, engine.address(), megabitsPerSecond).toString());
		Path log = this.directory.resolve("loader-" + number + ".log");
		this.processes.add(new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
				"-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"),
				FleetProcess.class.getName(), "--settings", file.toString())
			.redirectErrorStream(true)
			.redirectOutput(log.toFile())
			.start());
		await(() -> read(log).contains("\"event\":\"started\""));
		return engine;
	}

	private ObjectNode settings(int number, String host, String engineAddress, int megabitsPerSecond) {
		ObjectNode settings = JsonNodeFactory.instance.objectNode()
			.put("role", "loader")
			.put("instance", "loader-" + number)
			.put("failureDomain", "a")
			.put("region", "ra")
			.put("host", host)
			.put("store", this.store.address())
			.put("peerPort", this.peerPort)
			.put("metricsPort", TestPorts.findFree());
		settings.putObject("domains").put("a", "ra");
		settings.putObject("engine").put("address", engineAddress).put("service", "models");
		settings.putObject("bounds")
			.put("configurationMs", 2_000)
			.put("keyMs", 5_000)
			.put("versionMs", 8_000)
			.put("shutdownMs", 8_000)
			.put("retryRatio", 0.2)
			.put("retryWindowMs", 10_000)
			.put("retryMinimum", 200)
			.put("coldOvershoot", 1.5)
			.put("coldSlack", 5)
			.put("heartbeatMs", 1_200);
		settings.putObject("resources").put("descriptors", 1_000).put("linkMegabitsPerSecond", megabitsPerSecond);
		return settings;
	}

	private static String read(Path file) {
		try {
			return Files.readString(file);
		}
		catch (IOException ex) {
			return "";
		}
	}

	private static void await(BooleanSupplier condition) throws InterruptedException {
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
		while (!condition.getAsBoolean()) {
			assertThat("condition met in time", System.nanoTime() < endNanos, is(true));
			Thread.sleep(10);
		}
	}

	private void signal(int number, String name) throws Exception {
		new ProcessBuilder("kill", "-" + name, Long.toString(this.processes.get(number - 1).pid())).start().waitFor();
	}

	private EmulatedOrigin createOrigin(int chunks, int chunkBytes) {
		EmulatedOrigin origin = new EmulatedOrigin(this.group, chunks, chunkBytes);
		this.store.putConfiguration(
				new EmulatedConfiguration(1).modelService("models", "m", chunks, chunkBytes).origin(origin.address()));
		return origin;
	}

	@ParameterizedTest
	@ValueSource(strings = { "TERM", "KILL" })
	void aFetchGoesOnFromWhereItWasAtAnotherLoader(String signal) throws Exception {
		// The fetch takes longer than a new loader waits before it stages the first
		// chunk.
		try (EmulatedOrigin origin = createOrigin(CHUNKS, 40 << 10)) {
			startLoader(1, origin, 1, 1);
			startLoader(2, origin, 1, 1);
			this.store.announceVersion("m", 1);
			Thread.sleep(1_500);
			EmulatedEngine engine = startLoader(3, origin, 0, 100);
			await(() -> engine.stagePuts() >= CHUNKS / 4);
			signal(1, signal);
			int before = engine.stagePuts();
			assertThat("chunks before the end of the loader", before, is(lessThan(CHUNKS)));
			await(() -> engine.version() == 1);
			List<byte[]> expected = origin.content(1);
			for (int index = 0; index < CHUNKS; index++) {
				assertThat("chunk " + index, Arrays.equals(engine.stagedChunks().get(index), expected.get(index)),
						is(true));
			}
			assertThat("chunks staged", engine.stagePuts(), is(CHUNKS));
			assertThat("copies from the origin", origin.servedChunks(), lessThanOrEqualTo(CHUNKS));
		}
	}

}
