package org.baobabknot.daemon;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.Predicate;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Ticker;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.baobabknot.configuration.ConfigurationView;
import org.baobabknot.gossip.ConnectionEventDispatcher;
import org.baobabknot.gossip.Gossip;
import org.baobabknot.gossip.MemberSync;
import org.baobabknot.gossip.PauseGate;
import org.baobabknot.gossip.Peers;
import org.baobabknot.gossip.ProcessIdentity;
import org.baobabknot.gossip.RuleSync;
import org.baobabknot.gossip.StoreWatch;
import org.baobabknot.gossip.StreamRouter;
import org.baobabknot.httpclient.ConnectionHook;
import org.baobabknot.httpclient.HttpClient;
import org.baobabknot.httpclient.HttpClientSettings;
import org.baobabknot.members.HttpMemberList;
import org.baobabknot.members.ListedMember;
import org.baobabknot.members.MemberList;
import org.baobabknot.membership.MembershipView;
import org.baobabknot.observe.DecisionLog;
import org.baobabknot.observe.EventRecorder;
import org.baobabknot.observe.OperatorServer;
import org.baobabknot.protocol.Acceptor;
import org.baobabknot.protocol.ConnectionSettings;
import org.baobabknot.protocol.ProtocolCounters;
import org.baobabknot.security.BearerToken;
import org.baobabknot.security.TlsContexts;
import org.baobabknot.settings.ProcessRole;
import org.baobabknot.settings.Settings;
import org.baobabknot.store.ConfigurationStore;
import org.baobabknot.store.HttpConfigurationStore;
import org.baobabknot.time.HybridClock;
import org.jspecify.annotations.Nullable;

/**
 * An entry or agent process: creates, starts and stops its role and the components that
 * both roles share.
 */
public final class Daemon {

	/**
	 * Time for the last responses to leave the process.
	 */
	private static final long FINAL_RESPONSES_MS = 250;

	private final Settings settings;

	private final EventLoopGroup group;

	private final ProcessContext context;

	private final Role role;

	private final Acceptor acceptor;

	private final OperatorServer operatorPort;

	private final Gossip gossip;

	private final OperatorRequestHandler operatorRequests;

	private final AtomicReference<@Nullable CompletableFuture<Void>> drainResult = new AtomicReference<>();

	private volatile @Nullable Registration registration;

	private volatile @Nullable InetSocketAddress address;

	private volatile @Nullable InetSocketAddress operatorAddress;

	/**
	 * Creates the components without a log of requests.
	 * @param settings settings of the process
	 * @param roleFactory creates the role
	 * @throws IOException if the token or a TLS file cannot be used
	 */
	public Daemon(Settings settings, Function<ProcessContext, Role> roleFactory) throws IOException {
		this(settings, roleFactory, new DecisionLog(settings.instance(), OutputStream.nullOutputStream()));
	}

	/**
	 * Creates the components, without binding a port or calling another process.
	 * @param settings settings of the process
	 * @param roleFactory creates the role
	 * @param requestLog receives a line for each request
	 * @throws IOException if the token or a TLS file cannot be used
	 */
	public Daemon(Settings settings, Function<ProcessContext, Role> roleFactory, DecisionLog requestLog)
			throws IOException {
		this.settings = settings;
		this.group = new MultiThreadIoEventLoopGroup(settings.limits().threads(),
				new DefaultThreadFactory("loop", true), NioIoHandler.newFactory());
		Ticker ticker = Ticker.systemTicker();
		HybridClock clock = new HybridClock(System::currentTimeMillis);
		EventRecorder events = new EventRecorder(clock, settings.instance(), settings.limits().timelineEvents());
		ConfigurationView configuration = new ConfigurationView();
		MembershipView membership = new MembershipView();
		StatusReport statusReport = new StatusReport();
		long incarnation = newIncarnation();
		ProcessState localState = new ProcessState(settings, incarnation, clock, configuration, membership,
				statusReport);
		Duration storeTimeout = Duration.ofMillis(settings.timeouts().storeMs());
		ConfigurationStore store = new HttpConfigurationStore(httpClient(settings.platform().store()), storeTimeout);
		MemberList memberList = new HttpMemberList(httpClient(settings.platform().members()), settings.failureDomain(),
				storeTimeout);
		StreamRouter streams = new StreamRouter();
		Peers peers = new Peers();
		RuleSync ruleSync = new RuleSync(configuration, peers, streams, events, ticker);
		boolean isEntry = settings.role() == ProcessRole.ENTRY;
		MemberSync memberSync = new MemberSync(membership, memberList, peers, streams, settings.failureDomain(),
				isEntry, ticker);
		ProcessIdentity identity = new ProcessIdentity(settings.instance(), settings.failureDomain(), settings.region(),
				isEntry);
		StoreWatch storeWatch = new StoreWatch(store, membership, ruleSync, peers, identity, this.group.next(), ticker);
		PauseGate pauseGate = new PauseGate(ticker);
		this.gossip = new Gossip(this.group.next(), ruleSync, memberSync, membership, storeWatch, pauseGate, peers);
		SslContext serverTls = (settings.tls().isPresent()) ? TlsContexts.server(settings.tls().get()) : null;
		SslContext clientTls = (settings.tls().isPresent()) ? TlsContexts.client(settings.tls().get()) : null;
		ConnectionEventDispatcher listener = new ConnectionEventDispatcher(streams, peers, ruleSync, memberSync,
				operatorTokenCheck(settings));
		this.context = new ProcessContext(settings, incarnation, clock, ticker, this.group, configuration, membership,
				store, memberList, streams, peers, pauseGate, statusReport, events, requestLog,
				new PrometheusRegistry(), localState, ConnectionSettings.defaults(), new ProtocolCounters(), clientTls,
				serverTls, listener, ruleSync::ensureRevision);
		this.operatorRequests = new OperatorRequestHandler(this.context, this::drain);
		ProcessMetrics.register(this.context, ruleSync);
		this.role = roleFactory.apply(this.context);
		this.acceptor = new Acceptor(this.group, this.context.connectionSettings(), localState, listener, serverTls,
				this.context.counters());
		this.operatorPort = new OperatorServer(this.group, this.context.metrics(), this.role::isReady);
	}

	/**
	 * Binds the ports and starts the role.
	 * @return completed when the process has started; exceptionally if a port is in use
	 * or the role cannot start
	 */
	public CompletableFuture<Void> start() {
		Settings.Address listenAddress = this.settings.listen();
		Settings.Operator operatorSettings = this.settings.operator();
		return this.acceptor.bind(listenAddress.host(), listenAddress.port()).thenCompose((bound) -> {
			this.address = bound;
			return this.operatorPort.bind(operatorSettings.host(), operatorSettings.port());
		}).thenCompose((bound) -> {
			this.operatorAddress = bound;
			this.gossip.start();
			return this.role.start();
		}).thenRun(() -> {
			this.context.events().record("started", this.settings.role() + " on port " + address().getPort());
			Registration registration = new Registration(this.context.memberList(), toListedMember(),
					this.group.next());
			this.registration = registration;
			registration.register();
		});
	}

	/**
	 * Marks the instance as leaving and completes the work in flight.
	 * @param reason shown on the timeline
	 * @return completed when no work is in flight
	 */
	public CompletableFuture<Void> drain(String reason) {
		CompletableFuture<Void> done = new CompletableFuture<>();
		if (!this.drainResult.compareAndSet(null, done)) {
			return this.drainResult.get();
		}
		this.operatorRequests.markDraining();
		this.context.events().record("draining", reason);
		Registration registration = this.registration;
		if (registration != null) {
			registration.markLeaving();
		}
		this.role.drain(reason).whenComplete((nothing, error) -> {
			this.context.events().record("drained", (error != null) ? String.valueOf(error) : "nothing is open");
			done.complete(null);
		});
		return done;
	}

	/**
	 * Drains the process and, when its time is over, ends the requests that are still
	 * open by what is true of them.
	 * @param reason shown on the timeline
	 * @param timeoutMs time in which open requests may complete, in ms
	 * @return completed when the process can end
	 */
	public CompletableFuture<Void> stop(String reason, long timeoutMs) {
		CompletableFuture<Void> drained = drain(reason);
		return drained.thenApply((nothing) -> true)
			.completeOnTimeout(false, timeoutMs, TimeUnit.MILLISECONDS)
			.thenCompose((inTime) -> {
				if (inTime) {
					return drained;
				}
				int ended = this.role.endOpenRequests();
				this.context.events().record("time-over", ended + " requests were open");
				return drained.copy().completeOnTimeout(null, FINAL_RESPONSES_MS, TimeUnit.MILLISECONDS);
			});
	}

	/**
	 * Removes the instance from the member list and closes all components.
	 */
	public void close() {
		Registration registration = this.registration;
		if (registration != null) {
			registration.remove().completeOnTimeout(null, 1, TimeUnit.SECONDS).join();
		}
		this.gossip.close();
		this.role.close();
		this.acceptor.close();
		this.operatorPort.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2, TimeUnit.SECONDS);
	}

	/**
	 * Bound address of the process port.
	 * @return its address
	 */
	public InetSocketAddress address() {
		InetSocketAddress bound = this.address;
		if (bound == null) {
			throw new IllegalStateException("not started");
		}
		return bound;
	}

	/**
	 * Bound address of the operator port.
	 * @return its address
	 */
	public InetSocketAddress operatorAddress() {
		InetSocketAddress bound = this.operatorAddress;
		if (bound == null) {
			throw new IllegalStateException("not started");
		}
		return bound;
	}

	/**
	 * Components of the process that its role uses.
	 * @return the context
	 */
	public ProcessContext context() {
		return this.context;
	}

	/**
	 * The role.
	 * @return the role
	 */
	public Role role() {
		return this.role;
	}

	private ListedMember toListedMember() {
		boolean isEntry = this.settings.role() == ProcessRole.ENTRY;
		return new ListedMember(this.settings.instance(), (isEntry) ? ListedMember.Role.ENTRY : ListedMember.Role.AGENT,
				this.settings.failureDomain(), this.settings.region(), this.settings.listen().host(),
				address().getPort(), this.settings.target().map(Settings.Target::service).orElse(""),
				ListedMember.State.LIVE);
	}

	private HttpClient httpClient(URI url) {
		int port = (url.getPort() > 0) ? url.getPort() : 80;
		return new HttpClient(this.group, url.getHost(), port, HttpClientSettings.defaults(), ConnectionHook.NONE);
	}

	private static Predicate<String> operatorTokenCheck(Settings settings) throws IOException {
		if (settings.operator().tokenFile().isEmpty()) {
			return (token) -> false;
		}
		return BearerToken.read(settings.operator().tokenFile().get())::matches;
	}

	// The start time distinguishes this process from earlier ones of the instance, and
	// the random part does so after the clock was set back.
	private static long newIncarnation() {
		return (System.currentTimeMillis() << 16) | ThreadLocalRandom.current().nextInt(1 << 16);
	}

}
