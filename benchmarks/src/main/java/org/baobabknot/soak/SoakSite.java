package org.baobabknot.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.baobabknot.daemon.FleetProcess;
import org.baobabknot.emulator.EmulatedConfiguration;
import org.baobabknot.emulator.EmulatedEngine;
import org.baobabknot.emulator.EmulatedStore;
import org.baobabknot.experiment.LaunchedProcess;
import org.baobabknot.experiment.ProcessLauncher;

/**
 * Gateways as processes, with emulated targets and an emulated store.
 */
final class SoakSite implements AutoCloseable {

	private static final String MODEL = "model";

	private static final int MODEL_ENGINES = 6;

	private static final int PLAIN_ENGINES = 4;

	private static final int HTTP_UNAVAILABLE = 503;

	/** Longest time after a restore in which the store's writers write again. */
	private static final int REWRITE_MS = 1_000;

	/** Time after which the entry of an engine that has ended expires. */
	private static final int EXPIRY_MS = 3_600;

	private static final long READY_TIMEOUT_MS = 20_000;

	/** Time from SIGTERM until SIGKILL. */
	static final long SHUTDOWN_MS = 8_000;

	private static final long POLL_MS = 20;

	private final ProcessLauncher launcher;

	private final SoakHistory history;

	private final SplittableRandom random;

	private final List<Integer> ports;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

	private final EmulatedStore store = new EmulatedStore(this.group);

	private final List<EmulatedEngine> engines = new ArrayList<>();

	private final Map<EmulatedEngine, String> listedStates = new ConcurrentHashMap<>();

	private final LaunchedProcess[] processes;

	private final boolean[] restarting;

	private final int maxPauseMs;

	private int startedEngines;

	private long configurationVersion;

	private ConfigurationChange configuration = ConfigurationChange.VERSION_ONLY;

	private volatile boolean sendsDeadlyPart;

	private volatile boolean calm;

	/**
	 * Creates a site without processes.
	 * @param launcher starts the gateways
	 * @param history receives engines and disturbances
	 * @param gateways number of gateways
	 * @param ports one free port for the gateways to talk to each other, and three for
	 * each of them
	 * @param seed seed of the faults
	 * @param maxPauseMs longest pause between the events of a stream, in ms
	 */
	SoakSite(ProcessLauncher launcher, SoakHistory history, int gateways, List<Integer> ports, long seed,
			int maxPauseMs) {
		this.maxPauseMs = maxPauseMs;
		this.launcher = launcher;
		this.history = history;
		this.ports = ports;
		this.random = new SplittableRandom(seed);
		this.processes = new LaunchedProcess[gateways];
		this.restarting = new boolean[gateways];
	}

	void start() throws InterruptedException {
		changeConfiguration(ConfigurationChange.VERSION_ONLY);
		this.store.announceVersion(MODEL, 1);
		for (int index = 0; index < MODEL_ENGINES; index++) {
			addEngine(true);
		}
		for (int index = 0; index < PLAIN_ENGINES; index++) {
			addEngine(false);
		}
		for (int gateway = 0; gateway < this.processes.length; gateway++) {
			this.processes[gateway] = startProcess(gateway);
		}
		for (LaunchedProcess process : this.processes) {
			awaitReady(process);
		}
	}

	int gateways() {
		return this.processes.length;
	}

	List<Integer> callerPorts() {
		List<Integer> callerPorts = new ArrayList<>();
		for (int gateway = 0; gateway < this.processes.length; gateway++) {
			callerPorts.add(port(gateway, 0));
		}
		return callerPorts;
	}

	synchronized int draw(int bound) {
		return this.random.nextInt(bound);
	}

	/**
	 * Draws about a third of the engines.
	 * @return the engines, at least one
	 */
	synchronized List<EmulatedEngine> drawEngines() {
		EmulatedEngine one = drawEngine();
		return this.engines.stream().filter((engine) -> engine == one || this.random.nextInt(3) == 0).toList();
	}

	synchronized List<EmulatedEngine> modelEngines() {
		return this.engines.stream().filter((engine) -> engine.storeEntry("ready").contains("\"models\"")).toList();
	}

	synchronized List<EmulatedEngine> allEngines() {
		return List.copyOf(this.engines);
	}

	synchronized EmulatedEngine drawEngine() {
		return this.engines.get(this.random.nextInt(this.engines.size()));
	}

	boolean sendsDeadlyPart() {
		return this.sendsDeadlyPart;
	}

	void sendDeadlyPart(boolean enabled) {
		this.sendsDeadlyPart = enabled;
	}

	/**
	 * Returns whether all requests are to be short.
	 * @return true after the last fault
	 */
	boolean isCalm() {
		return this.calm;
	}

	int maxPauseMs() {
		return this.maxPauseMs;
	}

	/** Makes all requests short and all of them allowed. */
	void calm() {
		changeConfiguration(ConfigurationChange.VERSION_ONLY);
		this.calm = true;
	}

	synchronized void changeConfiguration(ConfigurationChange change) {
		this.configurationVersion++;
		this.configuration = change;
		writeConfiguration();
	}

	private synchronized void writeConfiguration() {
		EmulatedConfiguration written = new EmulatedConfiguration(this.configurationVersion);
		this.configuration.apply(written);
		this.store.putConfiguration(written.modelService("models", MODEL, 4, 64));
	}

	private synchronized void addEngine(boolean hasModel) {
		EmulatedEngine engine = new EmulatedEngine(this.group, "127.0.0.1", "engine-" + this.startedEngines++,
				(hasModel) ? "models" : "plain", "a", (hasModel) ? MODEL : "", (hasModel) ? 1 : 0);
		engine.deadlyPart = SoakLoad.DEADLY_PART;
		this.engines.add(engine);
		this.history.add(engine);
		list(engine, "ready");
	}

	void list(EmulatedEngine engine, String state) {
		this.listedStates.put(engine, state);
		this.store.putTarget(engine, state);
	}

	EmulatedStore.Copy copyStore() {
		return this.store.copy();
	}

	/**
	 * Takes the store away and restores it from a copy. The operator and the engines
	 * write again what it has forgotten, and entries of engines that have ended expire.
	 * @param copy the copy
	 * @param awayMs time for which the store is away, in ms
	 * @throws InterruptedException if the soak ends
	 */
	void restoreStore(EmulatedStore.Copy copy, int awayMs) throws InterruptedException {
		this.store.refuseCalls(HTTP_UNAVAILABLE);
		TimeUnit.MILLISECONDS.sleep(awayMs);
		this.store.restore(copy);
		this.store.refuseCalls(0);
		TimeUnit.MILLISECONDS.sleep(draw(REWRITE_MS));
		writeConfiguration();
		this.store.announceVersion(MODEL, 1);
		allEngines().forEach((engine) -> list(engine, this.listedStates.getOrDefault(engine, "ready")));
		TimeUnit.MILLISECONDS.sleep(EXPIRY_MS);
		Set<String> live = allEngines().stream().map(EmulatedEngine::id).collect(Collectors.toSet());
		this.store.targetIds().stream().filter((id) -> !live.contains(id)).forEach(this.store::removeTarget);
	}

	/**
	 * Removes an engine that has ended some time later and starts another one.
	 * @param engine the engine
	 * @throws InterruptedException if the soak ends
	 */
	void replaceLater(EmulatedEngine engine) throws InterruptedException {
		synchronized (this) {
			if (!this.engines.remove(engine)) {
				return;
			}
		}
		TimeUnit.MILLISECONDS.sleep(500 + draw(2_000));
		this.store.removeTarget(engine.id());
		addEngine(engine.id().isEmpty() || engine.storeEntry("ready").contains("\"models\""));
	}

	/**
	 * Replaces the engines that have crashed under a part of a prompt.
	 * @throws InterruptedException if the soak ends
	 */
	void replaceCrashedEngines() throws InterruptedException {
		List<EmulatedEngine> crashed;
		synchronized (this) {
			crashed = this.engines.stream().filter(EmulatedEngine::hasEnded).toList();
		}
		for (EmulatedEngine engine : crashed) {
			replaceLater(engine);
		}
	}

	/**
	 * Records the times in which gateways got no processor time.
	 * @return number of stalls
	 */
	int recordStalls() {
		int count = 0;
		for (LaunchedProcess process : this.launcher.processes()) {
			int gateway = Integer.parseInt(process.name().substring(process.name().lastIndexOf('-') + 1));
			for (SoakHistory.Disturbance stall : StalledGateways.of(gateway, process)) {
				this.history.add(stall);
				count++;
			}
		}
		return count;
	}

	/**
	 * Stops a gateway with SIGTERM and starts it again.
	 * @param gateway number of the gateway
	 * @param stallAfterMs time after the signal at which the process is paused, in ms
	 * @param stallMs duration of that pause in ms, 0 for none
	 * @throws InterruptedException if the soak ends
	 */
	void stopGateway(int gateway, int stallAfterMs, int stallMs) throws InterruptedException {
		if (!claim(gateway)) {
			return;
		}
		long fromNanos = System.nanoTime();
		LaunchedProcess process = this.processes[gateway];
		process.signal("TERM");
		if (stallMs > 0 && !process.awaitExit(stallAfterMs)) {
			// A second signal must not end the process sooner.
			process.signal("TERM");
			stall(gateway, stallMs);
		}
		if (!process.awaitExit(Math.max(0, SHUTDOWN_MS - elapsedMs(fromNanos)))) {
			process.kill();
		}
		startAgain(gateway, fromNanos, true);
	}

	private static long elapsedMs(long sinceNanos) {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
	}

	void killGateway(int gateway) throws InterruptedException {
		if (!claim(gateway)) {
			return;
		}
		long fromNanos = System.nanoTime();
		this.processes[gateway].kill();
		startAgain(gateway, fromNanos, false);
	}

	private void startAgain(int gateway, long fromNanos, boolean planned) throws InterruptedException {
		this.processes[gateway] = startProcess(gateway);
		awaitReady(this.processes[gateway]);
		this.history.add(new SoakHistory.Disturbance(gateway, fromNanos, System.nanoTime(), planned));
		release(gateway);
	}

	/**
	 * Sends SIGHUP to a gateway, unless it is about to be stopped or started.
	 * @param gateway number of the gateway
	 */
	void hangUpGateway(int gateway) {
		if (claim(gateway)) {
			this.processes[gateway].signal("HUP");
			release(gateway);
		}
	}

	void pauseGateway(int gateway, int ms) throws InterruptedException {
		if (!claim(gateway)) {
			return;
		}
		stall(gateway, ms);
		release(gateway);
	}

	private void stall(int gateway, int ms) throws InterruptedException {
		LaunchedProcess process = this.processes[gateway];
		long fromNanos = System.nanoTime();
		process.signal("STOP");
		TimeUnit.MILLISECONDS.sleep(ms);
		process.signal("CONT");
		this.history.add(new SoakHistory.Disturbance(gateway, fromNanos, System.nanoTime(), false));
	}

	private synchronized boolean claim(int gateway) {
		if (this.restarting[gateway]) {
			return false;
		}
		this.restarting[gateway] = true;
		return true;
	}

	private synchronized void release(int gateway) {
		this.restarting[gateway] = false;
	}

	private int port(int gateway, int index) {
		return this.ports.get(1 + gateway * 3 + index);
	}

	private LaunchedProcess startProcess(int gateway) {
		String name = "gateway-" + gateway;
		ObjectNode settings = JsonNodeFactory.instance.objectNode()
			.put("role", "gateway")
			.put("instance", name)
			.put("failureDomain", "a")
			.put("region", "ra")
			.put("host", "127.0.0." + (10 + gateway))
			.put("store", this.store.address())
			.put("peerPort", this.ports.get(0))
			.put("callers", "127.0.0.1:" + port(gateway, 0))
			.put("readiness", "127.0.0.1:" + port(gateway, 1))
			.put("metricsPort", port(gateway, 2));
		settings.putObject("domains").put("a", "ra");
		settings.putObject("bounds")
			.put("configurationMs", 2_000)
			.put("keyMs", 5_000)
			.put("versionMs", 8_000)
			.put("shutdownMs", SHUTDOWN_MS)
			.put("retryRatio", 0.2)
			.put("retryWindowMs", 10_000)
			.put("retryMinimum", 200)
			.put("coldOvershoot", 1.5)
			.put("coldSlack", 5)
			.put("heartbeatMs", 1_200);
		settings.putObject("resources").put("descriptors", 2_000).put("linkMegabitsPerSecond", 100);
		return this.launcher.start(name, FleetProcess.class.getName(), jvmOptions(gateway),
				List.of("--settings", this.launcher.writeJson(name + ".json", settings).toString()));
	}

	// Every second gateway runs as on a small machine.
	private static List<String> jvmOptions(int gateway) {
		return (gateway % 2 == 0) ? List.of("-Xmx96m") : List.of("-Xmx48m", "-XX:ActiveProcessorCount=1");
	}

	private static void awaitReady(LaunchedProcess process) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
		while (!process.logText().contains("\"ready\":\"true\"")) {
			if (System.nanoTime() > deadlineNanos) {
				throw new IllegalStateException(process.name() + " was not ready in time: " + process.logText());
			}
			TimeUnit.MILLISECONDS.sleep(POLL_MS);
		}
	}

	@Override
	public void close() {
		synchronized (this) {
			this.engines.forEach(EmulatedEngine::close);
		}
		this.store.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

}
