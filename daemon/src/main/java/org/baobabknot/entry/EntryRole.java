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

	private final ProcessContext process;

	private final AgentTable agents;

	private final Dialer dialer;

	private final RequestForwarder forwarder;

	private final CallerServer server;

	private final AtomicReference<@Nullable CompletableFuture<Void>> drainFuture = new AtomicReference<>();

	private volatile boolean started;

	private volatile @Nullable InetSocketAddress address;

	/**
	 * Creates the role.
	 * @param process shared components of the process
	 */
	public EntryRole(ProcessContext process) {
		this.process = process;
		Settings.Http http = process.settings()
			.http()
			.orElseThrow(() -> new IllegalArgumentException("the settings of an entry have no http section"));
		Connector connector = new Connector(process.group(), process.connectionSettings(), process.localState(),
				process.clientTls(), process.counters());
		this.dialer = new Dialer(connector, process.connectionListener(), process.group().next());
		Balancer balancer = new Balancer(BalancerSettings.defaults(process.settings().failureDomain()),
				new SplittableRandom());
		this.agents = new AgentTable(process, balancer, this.dialer);
		EntryMetrics metrics = new EntryMetrics(process.metrics());
		this.forwarder = new RequestForwarder(process, this.agents, metrics);
		this.server = new CallerServer(process, http, this.forwarder, metrics, this::isReady);
		metrics.registerGauge(process.metrics(), "baobabknot_requests_open", "requests of callers that are open",
				this.forwarder::openExchanges);
		metrics.registerGauge(process.metrics(), "baobabknot_callers_open", "open connections of callers",
				this.server::connections);
		process.statusReport().addStatusSource((status) -> status.setConnected(this.agents.connectedAgents()));
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
		this.process.group().next().schedule(() -> {
			this.server.drain();
			this.forwarder.onExchangeEnd(() -> completeWhenEmpty(completion));
			completeWhenEmpty(completion);
		}, this.process.settings().timeouts().balancerLagMs(), TimeUnit.MILLISECONDS);
		return completion;
	}

	@Override
	public int endOpenRequests() {
		return this.server.endOpenRequests();
	}

	@Override
	public boolean isReady() {
		return this.started && this.drainFuture.get() == null && this.process.configuration().revision() > 0
				&& this.process.configuration().rules().inService(this.process.settings().failureDomain())
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
			this.process.group().next().schedule(() -> completeWhenEmpty(completion), 20, TimeUnit.MILLISECONDS);
		}
	}

}
