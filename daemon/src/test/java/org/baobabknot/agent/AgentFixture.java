package org.baobabknot.agent;

import java.io.IOException;
import java.net.URI;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.baobabknot.configuration.Revision;
import org.baobabknot.daemon.Daemon;
import org.baobabknot.rules.RulesReader;
import org.baobabknot.rules.RulesResult;
import org.baobabknot.settings.ProcessRole;
import org.baobabknot.settings.Settings;
import org.baobabknot.standin.Standin;
import org.baobabknot.standin.StandinServer;
import org.baobabknot.standin.members.MembersStandin;
import org.baobabknot.standin.store.StoreSettings;
import org.baobabknot.standin.store.StoreStandin;

/**
 * Starts the stand-ins and agents of one test and closes them afterwards.
 */
final class AgentFixture implements AutoCloseable {

	static final String SERVICE = "orders";

	private static final String RULES = """
			workspace shop orders # tests: serves the tests
			workspace other orders # tests: serves the tests
			once orders POST /orders # tests: orders are paid for
			""";

	private static final long TIMEOUT_SECONDS = 20;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(3, NioIoHandler.newFactory());

	private final List<AutoCloseable> closeables = new ArrayList<>();

	private final List<Daemon> agents = new ArrayList<>();

	private final StandinServer store = start(new StoreStandin(StoreSettings.defaults()));

	private final StandinServer members = start(new MembersStandin(0));

	EventLoopGroup group() {
		return this.group;
	}

	StandinServer store() {
		return this.store;
	}

	StandinServer start(Standin standin) {
		StandinServer server = StandinServer.start(this.group, 0, standin);
		this.closeables.add(server);
		return server;
	}

	Daemon startAgent(String instance, StandinServer target, Settings.TargetKind kind, int coldLimit, int capacity,
			int maxQueued) throws IOException {
		Settings.Address anyPort = new Settings.Address("127.0.0.1", 0);
		Settings settings = new Settings(ProcessRole.AGENT, instance, "sindh", "sindh", anyPort,
				new Settings.Operator("127.0.0.1", 0, Optional.empty()), Optional.empty(),
				new Settings.Platform(URI.create(this.store.url()), URI.create(this.members.url()), Optional.empty()),
				Optional.of(new Settings.Target(SERVICE, URI.create(target.url()), kind, coldLimit, capacity)),
				Optional.empty(), new Settings.Links(1 << 20, 1 << 20),
				new Settings.Limits(2, 1000, maxQueued, 1 << 20, 10_000, 1000),
				new Settings.Timeouts(10_000, 60_000, 100, 10_000, 500, 600_000));
		Daemon daemon = new Daemon(settings, AgentRole::new);
		this.agents.add(daemon);
		adopt(daemon, 1, RULES);
		daemon.start().join();
		await("the agent is ready", () -> daemon.role().isReady());
		return daemon;
	}

	/**
	 * Stops an agent without a drain.
	 * @param agent the agent
	 */
	void kill(Daemon agent) {
		this.agents.remove(agent);
		agent.close();
	}

	EntryClient entryClient(Daemon agent) {
		EntryClient client = EntryClient.connect(this.group, agent);
		this.closeables.add(0, client);
		return client;
	}

	static void adopt(Daemon daemon, long revision, String text) {
		RulesResult.Accepted rules = (RulesResult.Accepted) new RulesReader().read(text);
		daemon.context()
			.configuration()
			.adopt(new Revision(revision, "change-" + revision, "tests", Instant.EPOCH, text, rules.rules()));
	}

	static void takeDomainOut(Daemon daemon, long revision) {
		adopt(daemon, revision, RULES + "domain sindh out # tests: maintenance\n");
	}

	static void await(String what, BooleanSupplier condition) {
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > deadlineNanos) {
				throw new AssertionError("waited " + TIMEOUT_SECONDS + " s until " + what);
			}
			sleep(5);
		}
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
		this.agents.forEach(Daemon::close);
		for (AutoCloseable closeable : this.closeables) {
			closeable.close();
		}
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2, TimeUnit.SECONDS);
	}

}
