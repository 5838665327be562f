package org.baobabknot.entry;

import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.baobabknot.daemon.ProcessContext;
import org.baobabknot.daemon.Role;
import org.baobabknot.gossip.Dialer;
import org.baobabknot.protocol.Connector;
import org.baobabknot.routing.Balancer;
import org.baobabknot.routing.BalancerSettings;
import org.baobabknot.settings.Settings;
import org.jspecify.annotations.Nullable;

/**
 * Role of an entry: the caller port and the connections to agents.
 */
public final class EntryRole implements Role {

	private final ProcessContext node;

	private final AgentTable agents;

	private final Dialer dialer;

	private final Forwarding forwarding;

	private final CallerServer server;

	private final AtomicReference<@Nullable CompletableFuture<Void>> drained = new AtomicReference<>();

	private volatile boolean started;

	private volatile @Nullable InetSocketAddress address;

	/**
	 * Creates the role.
	 * @param node parts of the process
	 */
	public EntryRole(ProcessContext node) {
		this.node = node;
		Settings.Http http = node.settings()
			.http()
			.orElseThrow(() -> new IllegalArgumentException("settings of an entry without http"));
		Connector connector = new Connector(node.group(), node.connectionSettings(), node.localState(),
				node.clientTls(), node.counters());
		this.dialer = new Dialer(connector, node.connectionListener(), node.group().next());
		Balancer balancer = new Balancer(BalancerSettings.defaults(node.settings().failureDomain()),
				new SplittableRandom());
		this.agents = new AgentTable(node, balancer, this.dialer);
		EntryMetrics metrics = new EntryMetrics(node.metrics());
		this.forwarding = new Forwarding(node, this.agents, metrics);
		this.server = new CallerServer(node, http, this.forwarding, metrics, this::isReady);
		metrics.gauge(node.metrics(), "baobabknot_requests_open", "requests of callers that are open",
				this.forwarding::openExchanges);
		metrics.gauge(node.metrics(), "baobabknot_callers_open", "open connections of callers",
				this.server::connections);
		node.statusReport().addStatusSource((status) -> status.setConnected(this.agents.connectedAgents()));
	}

	@Override
	public CompletableFuture<Void> start() {
		this.agents.start();
		return this.server.bind().thenAccept((bound) -> {
			this.address = bound;
			this.started = true;
		});
	}

	/**
	 * Fails the readiness check at once, keeps serving while the platform's balancer
	 * still sends requests, then stops listening and waits for open requests.
	 */
	@Override
	public CompletableFuture<Void> drain(String reason) {
		CompletableFuture<Void> done = new CompletableFuture<>();
		if (!this.drained.compareAndSet(null, done)) {
			return this.drained.get();
		}
		this.server.announceClose();
		this.node.group().next().schedule(() -> {
			this.server.drain();
			this.forwarding.onEnd(() -> completeWhenEmpty(done));
			completeWhenEmpty(done);
		}, this.node.settings().timeouts().balancerLagMs(), TimeUnit.MILLISECONDS);
		return done;
	}

	@Override
	public boolean isReady() {
		return this.started && this.drained.get() == null && this.node.configuration().revision() > 0
				&& this.node.configuration().rules().inService(this.node.settings().failureDomain())
				&& this.agents.everConnected();
	}

	@Override
	public void close() {
		this.dialer.close();
	}

	/**
	 * The bound caller port.
	 * @return its address
	 */
	public InetSocketAddress address() {
		InetSocketAddress bound = this.address;
		if (bound == null) {
			throw new IllegalStateException("not started");
		}
		return bound;
	}

	// The last bytes of an answer may still be in the socket's queue when its exchange
	// has ended, so the connections are waited for as well.
	private void completeWhenEmpty(CompletableFuture<Void> done) {
		if (done.isDone()) {
			return;
		}
		if (this.forwarding.openExchanges() == 0 && this.server.connections() == 0) {
			done.complete(null);
			return;
		}
		if (this.forwarding.openExchanges() == 0) {
			this.node.group().next().schedule(() -> completeWhenEmpty(done), 20, TimeUnit.MILLISECONDS);
		}
	}

}
