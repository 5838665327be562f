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
 * Role of an entry: serves callers and forwards their requests to agents.
 */
public final class EntryRole implements Role {

	private final ProcessContext node;

	private final AgentTable agents;

	private final Dialer dialer;

	private final RequestForwarder forwarder;

	private final CallerServer server;

	private final AtomicReference<@Nullable CompletableFuture<Void>> drainFuture = new AtomicReference<>();

	private volatile boolean started;

	private volatile @Nullable InetSocketAddress address;

	/**
	 * Creates the role.
	 * @param node shared components of the process
	 */
	public EntryRole(ProcessContext node) {
		this.node = node;
		Settings.Http http = node.settings()
			.http()
			.orElseThrow(() -> new IllegalArgumentException("the settings of an entry have no http section"));
		Connector connector = new Connector(node.group(), node.connectionSettings(), node.localState(),
				node.clientTls(), node.counters());
		this.dialer = new Dialer(connector, node.connectionListener(), node.group().next());
		Balancer balancer = new Balancer(BalancerSettings.defaults(node.settings().failureDomain()),
				new SplittableRandom());
		this.agents = new AgentTable(node, balancer, this.dialer);
		EntryMetrics metrics = new EntryMetrics(node.metrics());
		this.forwarder = new RequestForwarder(node, this.agents, metrics);
		this.server = new CallerServer(node, http, this.forwarder, metrics, this::isReady);
		metrics.registerGauge(node.metrics(), "baobabknot_requests_open", "requests of callers that are open",
				this.forwarder::openExchanges);
		metrics.registerGauge(node.metrics(), "baobabknot_callers_open", "open connections of callers",
				this.server::connections);
		node.statusReport().addStatusSource((status) -> status.setConnected(this.agents.connectedAgents()));
	}

	@Override
	public CompletableFuture<Void> start() {
		this.agents.start();
		return this.server.bind().thenAccept((boundAddress) -> {
			this.address = boundAddress;
			this.started = true;
		});
	}

	/**
	 * Fails the readiness check at once, continues to serve requests while the platform's
	 * balancer still sends them, then closes the listening socket and waits for open
	 * requests.
	 */
	@Override
	public CompletableFuture<Void> drain(String reason) {
		CompletableFuture<Void> completion = new CompletableFuture<>();
		if (!this.drainFuture.compareAndSet(null, completion)) {
			return this.drainFuture.get();
		}
		this.server.announceClose();
		this.node.group().next().schedule(() -> {
			this.server.drain();
			this.forwarder.onExchangeEnd(() -> completeWhenEmpty(completion));
			completeWhenEmpty(completion);
		}, this.node.settings().timeouts().balancerLagMs(), TimeUnit.MILLISECONDS);
		return completion;
	}

	@Override
	public boolean isReady() {
		return this.started && this.drainFuture.get() == null && this.node.configuration().revision() > 0
				&& this.node.configuration().rules().inService(this.node.settings().failureDomain())
				&& this.agents.everConnected();
	}

	@Override
	public void close() {
		this.dialer.close();
	}

	/**
	 * Returns the address of the caller port.
	 * @return the bound address
	 */
	public InetSocketAddress address() {
		InetSocketAddress boundAddress = this.address;
		if (boundAddress == null) {
			throw new IllegalStateException("not started");
		}
		return boundAddress;
	}

	// When an exchange ends, the last bytes of its response may still be queued for the
	// socket, so draining also waits until all connections are closed.
	private void completeWhenEmpty(CompletableFuture<Void> completion) {
		if (completion.isDone()) {
			return;
		}
		if (this.forwarder.openExchanges() == 0 && this.server.connections() == 0) {
			completion.complete(null);
			return;
		}
		if (this.forwarder.openExchanges() == 0) {
			this.node.group().next().schedule(() -> completeWhenEmpty(completion), 20, TimeUnit.MILLISECONDS);
		}
	}

}
