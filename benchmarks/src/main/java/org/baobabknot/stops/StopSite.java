package org.baobabknot.stops;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
import org.baobabknot.experiment.LaunchedProcess;
import org.baobabknot.experiment.ProcessLauncher;

/**
 * Gateways as processes that are stopped and started again, with emulated targets and an
 * emulated store.
 */
final class StopSite implements AutoCloseable {

	/** Time between SIGTERM and SIGKILL. */
	static final long GRACE_MS = 8_000;

	private static final int ENGINES_PER_SERVICE = 8;

	private static final long READY_TIMEOUT_MS = 30_000;

	private static final long POLL_MS = 20;

	private static final int PORTS_PER_GATEWAY = 3;

	private final ProcessLauncher launcher;

	private final List<Integer> ports;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

	private final EmulatedStore store = new EmulatedStore(this.group);

	private final List<EmulatedEngine> engines = new ArrayList<>();

	/**
	 * Creates a site without processes.
	 * @param launcher starts the gateways
	 * @param ports one free port for the gateways to talk to each other, and three for
	 * each of them
	 */
	StopSite(ProcessLauncher launcher, List<Integer> ports) {
		this.launcher = launcher;
		this.ports = ports;
		this.store.putConfiguration(new EmulatedConfiguration(1).route("orders", "unsafe", "plain", 4_000)
			.route("reads", "safe", "plain", 4_000)
			.route("texts", "streaming", "longs", 6_000)
			.route("notes", "streaming", "shorts", 6_000)
			.route("essays", "streaming", "essays", ResumingCaller.DEADLINE_MS)
			.plainService("plain")
			.modelService("longs", StopRequest.Kind.LONG_STREAM.model, 4, 64)
			.modelService("shorts", StopRequest.Kind.SHORT_STREAM.model, 4, 64)
			.modelService("essays", ResumingCaller.MODEL, 4, 64)
			.workspace("workspace", "key-1"));
		this.store.announceVersion(ResumingCaller.MODEL, 1);
		for (int index = 0; index < ENGINES_PER_SERVICE; index++) {
			addEngine(index, "plain", "", 0).firstByteDelayMs = 10 + 40 * index;
			addEngine(index, "essays", ResumingCaller.MODEL,
					ResumingCaller.EVENTS).eventIntervalMs = ResumingCaller.INTERVAL_MS;
			addStreamEngine(index, "longs", StopRequest.Kind.LONG_STREAM);
			addStreamEngine(index, "shorts", StopRequest.Kind.SHORT_STREAM);
		}
	}

	private EmulatedEngine addEngine(int index, String service, String model, int events) {
		EmulatedEngine engine = new EmulatedEngine(this.group, "127.0.0.1", service + "-" + index, service, "a", model,
				(model.isEmpty()) ? 0 : 1);
		engine.eventsPerStream = events;
		this.engines.add(engine);
		this.store.putTarget(engine, "ready");
		return engine;
	}

	// Streams take 2 to 5 s.
	private void addStreamEngine(int index, String service, StopRequest.Kind kind) {
		this.store.announceVersion(kind.model, 1);
		addEngine(index, service, kind.model,
				kind.events).eventIntervalMs = (2_000 + 3_000L * index / (ENGINES_PER_SERVICE - 1)) / kind.events;
	}

	int port(int gateway) {
		return this.ports.get(1 + gateway * PORTS_PER_GATEWAY);
	}

	/**
	 * Returns the runs of all requests at targets.
	 * @return the runs by request id
	 */
	Map<String, StopTally.TargetRun> runs() {
		Map<String, StopTally.TargetRun> runs = new HashMap<>();
		for (EmulatedEngine engine : this.engines) {
			long durationMs = engine.firstByteDelayMs + engine.eventsPerStream * engine.eventIntervalMs;
			for (EmulatedEngine.EngineEvent event : engine.events()) {
				runs.put(event.requestId(),
						new StopTally.TargetRun(event.nanos() + TimeUnit.MILLISECONDS.toNanos(durationMs)));
			}
		}
		return runs;
	}

	/**
	 * Starts a gateway.
	 * @param gateway number of the gateway
	 * @return its process, which is ready
	 * @throws InterruptedException if the experiment ends
	 */
	LaunchedProcess start(int gateway) throws InterruptedException {
		LaunchedProcess process = startProcess(gateway);
		awaitReady(gateway, process);
		return process;
	}

	/**
	 * Stops a gateway and waits for its end.
	 * @param gateway number of the gateway
	 * @param process its process
	 * @param plan what happens in the stop
	 * @return the stop
	 * @throws InterruptedException if the experiment ends
	 */
	StopRecord stop(int gateway, LaunchedProcess process, StopPlan plan) throws InterruptedException {
		long signalNanos = System.nanoTime();
		process.signal("TERM");
		boolean[] killed = new boolean[1];
		List<Thread> signals = new ArrayList<>();
		signals.add(at(process, plan.secondTermAtMs(), () -> process.signal("TERM")));
		signals.add(at(process, plan.hangupAtMs(), () -> process.signal("HUP")));
		signals.add(at(process, plan.freezeAtMs(), () -> freeze(process, plan.freezeMs())));
		signals.add(at(process, (int) GRACE_MS, () -> {
			killed[0] = true;
			process.kill();
		}));
		while (!process.awaitExit(GRACE_MS)) {
			Thread.onSpinWait();
		}
		long endNanos = System.nanoTime();
		for (Thread signal : signals) {
			signal.interrupt();
			signal.join();
		}
		return new StopRecord(gateway, plan, signalNanos, endNanos, killed[0], process.logText());
	}

	private static Thread at(LaunchedProcess process, int ms, Runnable action) {
		Thread thread = new Thread(() -> {
			try {
				if (ms >= 0) {
					TimeUnit.MILLISECONDS.sleep(ms);
					if (process.isAlive()) {
						action.run();
					}
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
		thread.start();
		return thread;
	}

	private static void freeze(LaunchedProcess process, int ms) {
		process.signal("STOP");
		try {
			TimeUnit.MILLISECONDS.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		process.signal("CONT");
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
			.put("callers", "127.0.0.1:" + port(gateway))
			.put("readiness", "127.0.0.1:" + this.ports.get(2 + gateway * PORTS_PER_GATEWAY))
			.put("metricsPort", this.ports.get(3 + gateway * PORTS_PER_GATEWAY));
		settings.putObject("domains").put("a", "ra");
		settings.putObject("bounds")
			.put("configurationMs", 2_000)
			.put("keyMs", 5_000)
			.put("versionMs", 8_000)
			.put("shutdownMs", GRACE_MS)
			.put("retryRatio", 0.2)
			.put("retryWindowMs", 10_000)
			.put("retryMinimum", 200)
			.put("coldOvershoot", 1.5)
			.put("coldSlack", 5)
			.put("heartbeatMs", 1_200);
		settings.putObject("resources").put("descriptors", 2_000).put("linkMegabitsPerSecond", 100);
		return this.launcher.start(name, FleetProcess.class.getName(), List.of("-Xmx96m"),
				List.of("--settings", this.launcher.writeJson(name + ".json", settings).toString()));
	}

	// Asks the process, because the line about it may be suppressed at a start with many
	// lines.
	private void awaitReady(int gateway, LaunchedProcess process) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
		while (!isReady(gateway)) {
			if (System.nanoTime() > deadlineNanos) {
				throw new IllegalStateException(process.name() + " was not ready in time: " + process.logText());
			}
			TimeUnit.MILLISECONDS.sleep(POLL_MS);
		}
	}

	private boolean isReady(int gateway) {
		try (EmulatedCaller caller = new EmulatedCaller(this.ports.get(2 + gateway * PORTS_PER_GATEWAY))) {
			return caller.sendAndRead("GET", "/readyz", "ready", "", "").status() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	@Override
	public void close() {
		this.engines.forEach(EmulatedEngine::close);
		this.store.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

}
