package org.baobabknot.agent.weights;

import java.io.IOException;
import java.net.URI;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.baobabknot.agent.AgentRole;
import org.baobabknot.configuration.Revision;
import org.baobabknot.daemon.Daemon;
import org.baobabknot.rules.RulesReader;
import org.baobabknot.rules.RulesResult;
import org.baobabknot.settings.ProcessRole;
import org.baobabknot.settings.Settings;
import org.baobabknot.standin.Standin;
import org.baobabknot.standin.StandinServer;
import org.baobabknot.standin.engine.EngineSettings;
import org.baobabknot.standin.engine.EngineStandin;
import org.baobabknot.standin.members.MembersStandin;
import org.baobabknot.standin.origin.OriginStandin;
import org.baobabknot.standin.store.StoreSettings;
import org.baobabknot.standin.store.StoreStandin;
import org.baobabknot.target.TargetState;
import org.baobabknot.target.TargetStatus;
import org.baobabknot.weights.Manifest;

/**
 * Runs agents with stand-in engines and a stand-in origin over real sockets in one
 * process. A watcher thread records how many targets of a domain are switching at once
 * and all digests that engines serve.
 */
final class WeightsFixture implements AutoCloseable {

	static final String SERVICE = "translation";

	static final int CHUNK_BYTES = 16 * 1024;

	static final int MODEL_BYTES = 20 * CHUNK_BYTES + 777;

	private static final long TIMEOUT_SECONDS = 60;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(4, NioIoHandler.newFactory());

	private final List<AutoCloseable> closeables = new ArrayList<>();

	private final StandinServer store = start(new StoreStandin(StoreSettings.defaults()));

	private final StandinServer members = start(new MembersStandin(0));

	private final OriginStandin originStandin = new OriginStandin(4L << 20);

	final StandinServer origin = start(this.originStandin);

	final Map<String, StandinServer> engines = new HashMap<>();

	final Map<String, Daemon> agents = new ConcurrentHashMap<>();

	final Set<String> servedDigests = ConcurrentHashMap.newKeySet();

	private final Set<String> publishedDigests = ConcurrentHashMap.newKeySet();

	private volatile boolean watching = true;

	volatile int maxSwitchingPerDomain;

	private final Thread watcher = new Thread(this::watch, "watcher");

	private long revision;

	WeightsFixture() {
		this.watcher.setDaemon(true);
		this.watcher.start();
	}

	private StandinServer start(Standin standin) {
		StandinServer server = StandinServer.start(this.group, 0, standin);
		this.closeables.add(server);
		return server;
	}

	Manifest publish(String version, long seed) {
		Manifest manifest = this.originStandin.publish(SERVICE, version, seed, MODEL_BYTES, CHUNK_BYTES);
		this.publishedDigests.add(manifest.wholeDigest());
		return manifest;
	}

	void startEngine(String instance, Manifest running) {
		EngineStandin engine = new EngineStandin(
				EngineSettings.of(SERVICE, "d").withLoadTime(150).withColdStart(2, 100));
		this.engines.put(instance, start(engine));
		engine.preload(running.version(), running.wholeDigest(), false);
	}

	Daemon startAgent(String instance, String domain) throws IOException {
		Settings.Address anyPort = new Settings.Address("127.0.0.1", 0);
		Settings settings = new Settings(ProcessRole.AGENT, instance, domain, domain, anyPort,
				new Settings.Operator("127.0.0.1", 0, Optional.empty()), Optional.empty(),
				new Settings.Platform(URI.create(this.store.url()), URI.create(this.members.url()),
						Optional.of(URI.create(this.origin.url()))),
				Optional.of(new Settings.Target(SERVICE, URI.create(this.engines.get(instance).url()),
						Settings.TargetKind.ENGINE, 2, 16)),
				Optional.empty(), new Settings.Links(2 << 20, 2 << 20),
				new Settings.Limits(1, 1000, 100, 1 << 20, 1000, 1000),
				new Settings.Timeouts(10_000, 60_000, 100, 10_000, 500, 600_000));
		Daemon daemon = new Daemon(settings, AgentRole::new);
		daemon.start().join();
		this.agents.put(instance, daemon);
		return daemon;
	}

	void kill(String instance) {
		this.agents.remove(instance).close();
	}

	void adoptModelRule(Manifest manifest, int out) {
		this.revision++;
		String text = "model %s %s sha256:%s out=%d # tests: rollout%n".formatted(SERVICE, manifest.version(),
				manifest.digest(), out);
		RulesResult.Accepted rules = (RulesResult.Accepted) new RulesReader().read(text);
		Revision adopted = new Revision(this.revision, "change-" + this.revision, "tests", Instant.EPOCH, text,
				rules.rules());
		this.agents.values().forEach((agent) -> agent.context().configuration().adopt(adopted));
	}

	private AgentRole role(Daemon agent) {
		return (AgentRole) agent.role();
	}

	boolean allServe(Manifest manifest) {
		return this.agents.values()
			.stream()
			.allMatch((agent) -> role(agent).status()
				.map((status) -> serves(status) && status.digest().equals(manifest.wholeDigest()))
				.orElse(false) && role(agent).weights().orElseThrow().phase().equals("DONE"));
	}

	private static boolean serves(TargetStatus status) {
		return status.state() == TargetState.COLD || status.state() == TargetState.READY;
	}

	private void watch() {
		while (this.watching) {
			Map<String, Integer> switchingByDomain = new HashMap<>();
			for (Daemon agent : this.agents.values()) {
				AgentWeights weights = role(agent).weights().orElseThrow();
				if (weights.isSwitching()) {
					switchingByDomain.merge(agent.context().settings().failureDomain(), 1, Integer::sum);
				}
				role(agent).status()
					.filter((status) -> serves(status) && role(agent).isReady())
					.ifPresent((status) -> this.servedDigests.add(status.digest()));
			}
			this.maxSwitchingPerDomain = Math.max(this.maxSwitchingPerDomain,
					switchingByDomain.values().stream().mapToInt(Integer::intValue).max().orElse(0));
			sleep(2);
		}
	}

	/**
	 * Returns the digests that were served and do not belong to a published version.
	 */
	Set<String> unexpectedDigests() {
		Set<String> wrong = ConcurrentHashMap.newKeySet();
		wrong.addAll(this.servedDigests);
		wrong.removeAll(this.publishedDigests);
		return wrong;
	}

	double originCopies() {
		return this.origin.record().path("chunk_bytes").asDouble() / MODEL_BYTES;
	}

	void await(String what, BooleanSupplier condition, Supplier<String> state) {
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > deadlineNanos) {
				throw new AssertionError("waited " + TIMEOUT_SECONDS + " s until " + what + ": " + state.get());
			}
			sleep(5);
		}
	}

	void awaitAll(Manifest manifest) {
		await("all agents serve " + manifest.version(), () -> allServe(manifest), this::describe);
	}

	String describe() {
		StringBuilder text = new StringBuilder();
		this.agents.forEach((name, agent) -> {
			AgentWeights weights = role(agent).weights().orElseThrow();
			text.append("\n%s %s held=%d %s %s".formatted(name, weights.phase(), weights.heldPermille(),
					weights.waitReason(), role(agent).status()));
			agent.context().events().timeline().after(0, 100).forEach((event) -> text.append("\n   " + event));
		});
		return text.toString();
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted", ex);
		}
	}

	@Override
	public void close() throws Exception {
		this.watching = false;
		this.watcher.join();
		this.agents.values().forEach(Daemon::close);
		for (AutoCloseable closeable : this.closeables) {
			closeable.close();
		}
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2, TimeUnit.SECONDS);
	}

}
