package org.baobabknot.entry;

import java.io.IOException;
import java.net.URI;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntUnaryOperator;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.baobabknot.configuration.Revision;
import org.baobabknot.daemon.Daemon;
import org.baobabknot.gossip.PeerListener;
import org.baobabknot.membership.Member;
import org.baobabknot.membership.MemberRole;
import org.baobabknot.membership.MemberState;
import org.baobabknot.membership.MemberUpdate;
import org.baobabknot.rules.RulesReader;
import org.baobabknot.rules.RulesResult;
import org.baobabknot.settings.ProcessRole;
import org.baobabknot.settings.Settings;

/**
 * Starts one entry and the agents that it connects to. The platform's services are not
 * available, so rules and members are set directly.
 */
final class EntryFixture implements AutoCloseable {

	static final String RULES = """
			model s v1 sha256:%s # test: needed
			workspace w s # test: needed
			once s POST /orders # test: needed
			""".formatted("0".repeat(64));

	static final Settings.Http HTTP_SETTINGS = new Settings.Http("127.0.0.1", 0, 64, 4096, 1 << 20, 400, 400, 60_000);

	final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

	final List<FakeAgent> agents = new ArrayList<>();

	final Daemon daemon;

	EntryFixture(int agentCount) throws IOException {
		this(agentCount, HTTP_SETTINGS);
	}

	EntryFixture(int agentCount, Settings.Http http) throws IOException {
		this(agentCount, http, (port) -> port);
	}

	EntryFixture(int agentCount, Settings.Http http, IntUnaryOperator listedPort) throws IOException {
		this(agentCount, http, listedPort, new PeerListener() {
		});
	}

	/**
	 * Starts an entry.
	 * @param agentCount number of agents
	 * @param http settings of the caller port
	 * @param listedPort maps the port of an agent to its port in the member list
	 * @param firstListener listener that is notified of connections before the entry
	 */
	EntryFixture(int agentCount, Settings.Http http, IntUnaryOperator listedPort, PeerListener firstListener)
			throws IOException {
		this.daemon = new Daemon(settings(http), (node) -> {
			node.peers().addListener(firstListener);
			return new EntryRole(node);
		});
		this.daemon.start().join();
		RulesResult rules = new RulesReader().read(RULES);
		this.daemon.context()
			.configuration()
			.adopt(new Revision(1, "c1", "test", Instant.EPOCH, RULES, ((RulesResult.Accepted) rules).rules()));
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < agentCount; i++) {
			FakeAgent agent = new FakeAgent(this.group, "agent" + i);
			this.agents.add(agent);
			members.add(new Member(agent.name, MemberRole.AGENT, "d", "r", "127.0.0.1",
					listedPort.applyAsInt(agent.port), "s", MemberState.LIVE));
		}
		this.daemon.context().membership().apply(MemberUpdate.full(1, members));
		await(() -> this.daemon.context().peers().connectionCount() == agentCount);
	}

	int port() {
		return ((EntryRole) this.daemon.role()).address().getPort();
	}

	RawCaller caller() throws IOException {
		return new RawCaller(port());
	}

	static void await(BooleanSupplier condition) {
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() - deadlineNanos > 0) {
				throw new AssertionError("the condition did not become true within 20 s");
			}
			try {
				Thread.sleep(5);
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}
	}

	@Override
	public void close() {
		this.daemon.close();
		this.agents.forEach((agent) -> agent.acceptor.close());
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
	}

	private static Settings settings(Settings.Http http) {
		URI unreachable = URI.create("http://127.0.0.1:1");
		return new Settings(ProcessRole.ENTRY, "entry1", "d", "r", new Settings.Address("127.0.0.1", 0),
				new Settings.Operator("127.0.0.1", 0, Optional.empty()), Optional.of(http),
				new Settings.Platform(unreachable, unreachable, Optional.empty()), Optional.empty(), Optional.empty(),
				new Settings.Links(1, 1), new Settings.Limits(2, 16, 16, 1, 16, 64),
				new Settings.Timeouts(5_000, 60_000, 300, 10_000, 200, 60_000));
	}

}
