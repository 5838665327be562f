package org.baobabknot.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.baobabknot.daemon.FleetProcess;
import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.emulator.EmulatedConfiguration;
import org.baobabknot.emulator.EmulatedEngine;
import org.baobabknot.emulator.EmulatedOrigin;
import org.baobabknot.emulator.EmulatedStore;

/**
 * Measures the processor time and memory of a gateway and two loaders on the emulated
 * platform: their start, a load of streams and orders, and a new version of the weights.
 * With {@code --class-list} it writes the classes that the processes loaded, from which
 * the deployment builds its class data archive.
 */
final class FootprintExperiment implements Subcommand {

	private static final String MODEL = "model";

	private static final int CHUNKS = 24;

	private static final int CHUNK_BYTES = 4_096;

	private static final int LOADERS = 2;

	private static final int STREAM_EVENTS = 15;

	private static final long START_TIMEOUT_MS = 15_000;

	private static final long POLL_MS = 50;

	private static final int CALLER_THREADS = 32;

	private static final int STATUS_OK = 200;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

	private final EmulatedStore store = new EmulatedStore(this.group);

	private final EmulatedOrigin origin = new EmulatedOrigin(this.group, CHUNKS, CHUNK_BYTES);

	private final List<EmulatedEngine> engines = new ArrayList<>();

	private final List<LaunchedProcess> processes = new ArrayList<>();

	private final List<Integer> ports = FreePorts.find(8);

	private List<String> jvmOptions = List.of();

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("seconds", "duration of the load").withRequiredArg().ofType(Integer.class).defaultsTo(15);
		parser.accepts("rate", "requests per second").withRequiredArg().ofType(Integer.class).defaultsTo(14);
		parser.accepts("gateways", "registered gateways, of which one runs and the others only receive reports")
			.withRequiredArg()
			.ofType(Integer.class)
			.defaultsTo(1);
		parser.accepts("class-list", "writes the loaded classes to this file; slows the start").withRequiredArg();
	}

	@Override
	public ExperimentResult run(OptionSet options, ExperimentContext context) throws Exception {
		int seconds = (Integer) options.valueOf("seconds");
		int rate = (Integer) options.valueOf("rate");
		boolean writesClassList = options.has("class-list");
		this.jvmOptions = List.of("-Xmx96m", "-Xss256k");
		startPlatform((Integer) options.valueOf("gateways"));
		startProcesses(context, writesClassList);
		awaitReady();
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		recordUsage(figures, "start");
		int[] outcomes = sendLoad(seconds, rate);
		recordUsage(figures, "end");
		boolean allOnNewVersion = this.engines.stream().allMatch((engine) -> engine.version() == 2);
		figures.put("served", outcomes[0]).put("other", outcomes[1]).put("storeCalls", this.store.calls());
		context.launcher().stopAll();
		if (writesClassList) {
			writeClassList(context.launcher().folder(), Path.of((String) options.valueOf("class-list")));
		}
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
		return new ExperimentResult(figures, outcomes[0] > 0 && outcomes[1] == 0 && allOnNewVersion);
	}

	private void startPlatform(int gateways) {
		for (int index = 1; index <= LOADERS; index++) {
			EmulatedEngine engine = new EmulatedEngine(this.group, loaderHost(index), "engine-" + index, "models", "a",
					MODEL, 1);
			engine.stageChunks(this.origin.content(1));
			engine.eventsPerStream = STREAM_EVENTS;
			this.engines.add(engine);
			this.store.putTarget(engine, "ready");
		}
		EmulatedEngine plain = new EmulatedEngine(this.group, "127.0.0.1", "plain-1", "plain", "a", "", 0);
		this.store.putTarget(plain, "ready");
		this.store.putConfiguration(new EmulatedConfiguration(1).route("texts", "streaming", "models", 6_000)
			.route("orders", "unsafe", "plain", 2_000)
			.plainService("plain")
			.modelService("models", MODEL, CHUNKS, CHUNK_BYTES)
			.origin(this.origin.address())
			.workspace("workspace", "key-1"));
		this.store.announceVersion(MODEL, 1);
		for (int index = 1; index < gateways; index++) {
			this.store.put("baobabknot/entries/other-" + index,
					"{\"region\":\"r" + index % 4 + "\",\"host\":\"127.0.0.9\",\"port\":" + this.ports.get(0) + "}");
		}
	}

	private static String loaderHost(int index) {
		return "127.0.0." + (index + 1);
	}

	private void startProcesses(ExperimentContext context, boolean writesClassList) {
		ObjectNode gateway = settings("gateway", "127.0.0.1", 1);
		gateway.put("callers", "127.0.0.1:" + this.ports.get(5)).put("readiness", "127.0.0.1:" + this.ports.get(6));
		this.processes.add(start(context, "gateway", gateway, writesClassList));
		for (int index = 1; index <= LOADERS; index++) {
			ObjectNode loader = settings("loader", loaderHost(index), 1 + index);
			loader.putObject("engine").put("address", this.engines.get(index - 1).address()).put("service", "models");
			this.processes.add(start(context, "loader-" + index, loader, writesClassList));
		}
	}

	private ObjectNode settings(String role, String host, int metricsPortIndex) {
		ObjectNode settings = JsonNodeFactory.instance.objectNode()
			.put("role", role)
			.put("instance", role + "-" + host)
			.put("failureDomain", "a")
			.put("region", "ra")
			.put("host", host)
			.put("store", this.store.address())
			.put("peerPort", this.ports.get(0))
			.put("metricsPort", this.ports.get(metricsPortIndex));
		settings.putObject("domains").put("a", "ra");
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
		settings.putObject("resources").put("descriptors", 2_000).put("linkMegabitsPerSecond", 100);
		return settings;
	}

	private LaunchedProcess start(ExperimentContext context, String name, ObjectNode settings,
			boolean writesClassList) {
		List<String> processOptions = new ArrayList<>(this.jvmOptions);
		if (writesClassList) {
			processOptions.addAll(List.of("-Xshare:off",
					"-XX:DumpLoadedClassList=" + context.launcher().folder().resolve(name + ".classes")));
		}
		Path file = context.launcher().writeJson(name + ".json", settings);
		return context.launcher()
			.start(name, FleetProcess.class.getName(), processOptions, List.of("--settings", file.toString()));
	}

	private void awaitReady() throws IOException, InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
		while (!this.processes.get(0).logText().contains("\"ready\":\"true\"")) {
			if (System.nanoTime() > deadlineNanos) {
				throw new IOException("the gateway was not ready within " + START_TIMEOUT_MS + " ms: "
						+ this.processes.get(0).logText());
			}
			Thread.sleep(POLL_MS);
		}
	}

	private int[] sendLoad(int seconds, int rate) throws InterruptedException {
		AtomicInteger served = new AtomicInteger();
		AtomicInteger other = new AtomicInteger();
		ExecutorService callers = Executors.newFixedThreadPool(CALLER_THREADS);
		int total = seconds * rate;
		for (int number = 0; number < total; number++) {
			int id = number;
			callers.execute(() -> (succeeds(id) ? served : other).incrementAndGet());
			if (number == total / 2) {
				this.store.announceVersion(MODEL, 2);
			}
			TimeUnit.NANOSECONDS.sleep(TimeUnit.SECONDS.toNanos(1) / rate);
		}
		callers.shutdown();
		callers.awaitTermination(START_TIMEOUT_MS, TimeUnit.MILLISECONDS);
		return new int[] { served.get(), other.get() };
	}

	private boolean succeeds(int number) {
		boolean order = number % 8 == 0;
		try (EmulatedCaller caller = new EmulatedCaller(this.ports.get(5))) {
			EmulatedCaller.Response response = caller.sendAndRead("POST", (order) ? "/orders/x" : "/texts/x",
					String.format("%016x", number + 1),
					EmulatedCaller.deadlineHeader(5_000) + ((order) ? "" : EmulatedCaller.modelHeaders(MODEL, 800, 90)),
					"x".repeat(2_000));
			return response.status() == STATUS_OK && response.complete();
		}
		catch (IOException ex) {
			return false;
		}
	}

	private void recordUsage(ObjectNode figures, String phase) throws IOException {
		for (LaunchedProcess process : this.processes) {
			ProcessUsage usage = ProcessUsage.of(process);
			figures.withObject("/" + process.name())
				.put(phase + "CpuMs", TimeUnit.NANOSECONDS.toMillis(usage.cpuNanos()))
				.put(phase + "ResidentMb", usage.residentBytes() >> 20);
		}
	}

	// Lambda forms are listed with the names that the JVM gives them, so only the order
	// of
	// the first appearance is kept.
	private static void writeClassList(Path folder, Path output) throws IOException {
		Set<String> lines = new LinkedHashSet<>();
		List<Path> files;
		try (Stream<Path> listing = Files.list(folder)) {
			files = listing.filter((file) -> file.toString().endsWith(".classes")).sorted().toList();
		}
		for (Path file : files) {
			Files.readAllLines(file).stream().filter((line) -> !line.startsWith("#")).forEach(lines::add);
		}
		Files.write(output, lines);
	}

}
