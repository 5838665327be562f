package org.baobabknot.experiment;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.baobabknot.agent.AgentRole;
import org.baobabknot.configuration.Revision;
import org.baobabknot.daemon.Daemon;
import org.baobabknot.entry.EntryRole;
import org.baobabknot.membership.Member;
import org.baobabknot.membership.MemberRole;
import org.baobabknot.membership.MemberState;
import org.baobabknot.membership.MemberUpdate;
import org.baobabknot.rules.RulesReader;
import org.baobabknot.rules.RulesResult;
import org.baobabknot.settings.ProcessRole;
import org.baobabknot.settings.Settings;
import org.baobabknot.standin.StandinServer;
import org.baobabknot.standin.plain.PlainSettings;
import org.baobabknot.standin.plain.PlainStandin;

/**
 * Runs one entry and several stand-in targets of a plain service, each with an agent, in
 * this process. Rules and member list are set directly, so that no platform is needed.
 */
final class LocalFleet implements AutoCloseable {

	static final String SERVICE = "menus";

	private static final String FAILURE_DOMAIN = "d";

	private static final int THREADS = 2;

	private static final int MAX_REQUESTS = 10_000;

	private static final long READY_TIMEOUT_SECONDS = 20;

	private static final URI UNREACHABLE_PLATFORM = URI.create("http://127.0.0.1:1");

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());

	private final List<PlainStandin> services = new ArrayList<>();

	private final List<StandinServer> targets = new ArrayList<>();

	private final List<Daemon> daemons = new ArrayList<>();

	private final Daemon entry;

	/**
	 * Starts a fleet and waits until the entry is connected to every agent.
	 * @param targetCount the number of targets
	 * @param settings the settings of each target; the capacity of a target is the limit
	 * of its agent
	 * @param maxQueued the highest number of requests queued at one agent
	 * @param rules text of the rules in force
	 * @throws IOException if a process cannot be set up
	 */
	LocalFleet(int targetCount, PlainSettings settings, int maxQueued, String rules) throws IOException {
		this.entry = startDaemon(settings(ProcessRole.ENTRY, "entry", Optional.empty(), maxQueued), rules);
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < targetCount; i++) {
			PlainStandin service = new PlainStandin(settings);
			StandinServer target = StandinServer.start(this.group, 0, service);
			this.services.add(service);
			this.targets.add(target);
			Settings.Target targetSettings = new Settings.Target(SERVICE, URI.create(target.url()),
					Settings.TargetKind.PLAIN, settings.capacity(), settings.capacity());
			Daemon agent = startDaemon(
					settings(ProcessRole.AGENT, "agent-" + i, Optional.of(targetSettings), maxQueued), rules);
			members.add(new Member("agent-" + i, MemberRole.AGENT, FAILURE_DOMAIN, FAILURE_DOMAIN, "127.0.0.1",
					agent.address().getPort(), SERVICE, MemberState.LIVE));
		}
		this.entry.context().membership().apply(MemberUpdate.full(1, members));
		awaitReady(targetCount);
	}

	private Daemon startDaemon(Settings settings, String rulesText) throws IOException {
		Daemon daemon = new Daemon(settings, (settings.role() == ProcessRole.ENTRY) ? EntryRole::new : AgentRole::new);
		this.daemons.add(0, daemon);
		RulesResult.Accepted rules = (RulesResult.Accepted) new RulesReader().read(rulesText);
		daemon.context()
			.configuration()
			.adopt(new Revision(1, "experiment", "experiment", Instant.EPOCH, rulesText, rules.rules()));
		daemon.start().join();
		return daemon;
	}

	private static Settings settings(ProcessRole role, String instance, Optional<Settings.Target> target,
			int maxQueued) {
		Optional<Settings.Http> http = (role == ProcessRole.ENTRY)
				? Optional.of(new Settings.Http("127.0.0.1", 0, MAX_REQUESTS, 4096, 1 << 20, 10_000, 10_000, 60_000))
				: Optional.empty();
		Settings.Address anyPort = new Settings.Address("127.0.0.1", 0);
		return new Settings(role, instance, FAILURE_DOMAIN, FAILURE_DOMAIN, anyPort,
				new Settings.Operator("127.0.0.1", 0, Optional.empty()), http,
				new Settings.Platform(UNREACHABLE_PLATFORM, UNREACHABLE_PLATFORM, Optional.empty()), target,
				Optional.empty(), new Settings.Links(1 << 20, 1 << 20),
				new Settings.Limits(THREADS, MAX_REQUESTS, maxQueued, 1 << 20, MAX_REQUESTS, 100),
				new Settings.Timeouts(5_000, 60_000, 100, 5_000, 500, 600_000));
	}

	private void awaitReady(int agentCount) {
		long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
		while (this.entry.context().peers().connectionCount() < agentCount || !allReady()) {
			if (System.nanoTime() - deadline > 0) {
				throw new IllegalStateException("the fleet is not ready after " + READY_TIMEOUT_SECONDS + " s");
			}
			try {
				Thread.sleep(20);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new IllegalStateException("interrupted", ex);
			}
		}
	}

	private boolean allReady() {
		return this.daemons.stream().allMatch((daemon) -> daemon.role().isReady());
	}

	InetSocketAddress entryAddress() {
		return ((EntryRole) this.entry.role()).address();
	}

	List<InetSocketAddress> targetAddresses() {
		return this.targets.stream().map((target) -> new InetSocketAddress("127.0.0.1", target.port())).toList();
	}

	StandinServer target(int index) {
		return this.targets.get(index);
	}

	/**
	 * Returns how many requests all targets together have run.
	 * @return the number of runs so far
	 */
	int runCount() {
		return this.services.stream().mapToInt((service) -> service.runs().size()).sum();
	}

	/**
	 * Returns the sum of a counter of the entry over all its labels.
	 * @param name the name of the counter without its suffix
	 * @return the sum
	 */
	double entryCounter(String name) {
		return this.entry.context()
			.metrics()
			.scrape((candidate) -> candidate.equals(name))
			.stream()
			.flatMap((snapshot) -> snapshot.getDataPoints().stream())
			.filter(io.prometheus.metrics.model.snapshots.CounterSnapshot.CounterDataPointSnapshot.class::isInstance)
			.map(io.prometheus.metrics.model.snapshots.CounterSnapshot.CounterDataPointSnapshot.class::cast)
			.mapToDouble(io.prometheus.metrics.model.snapshots.CounterSnapshot.CounterDataPointSnapshot::getValue)
			.sum();
	}

	@Override
	public void close() {
		this.daemons.forEach(Daemon::close);
		this.targets.forEach(StandinServer::close);
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2, TimeUnit.SECONDS);
	}

}
