package org.baobabknot.gateway;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpServerCodec;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.baobabknot.fleet.CallerLimits;
import org.baobabknot.fleet.EntryRecord;
import org.baobabknot.fleet.FleetConfiguration;
import org.baobabknot.fleet.FleetView;
import org.baobabknot.fleet.SourceTiming;
import org.baobabknot.fleet.TargetRecord;
import org.baobabknot.fleet.ValueSources;
import org.baobabknot.httpclient.HttpCall;
import org.baobabknot.httpclient.HttpExchange;
import org.baobabknot.observe.DecisionLog;
import org.baobabknot.observe.LoopDelayMeter;
import org.baobabknot.observe.OperatorServer;
import org.baobabknot.observe.StoreCallMetrics;
import org.baobabknot.placement.Placement;
import org.baobabknot.placement.PlacementSettings;
import org.baobabknot.placement.RetryAfter;
import org.baobabknot.placement.ShutdownWindow;
import org.baobabknot.protocol.generated.PartReport;
import org.baobabknot.protocol.generated.PermitMessage;
import org.baobabknot.provider.CallerRequestHead;
import org.baobabknot.provider.EntryRegistration;
import org.baobabknot.provider.FleetFeed;
import org.baobabknot.provider.PlatformHeaders;
import org.baobabknot.provider.StoreClient;
import org.baobabknot.provider.TargetRequestHead;
import org.baobabknot.relay.ValueRelay;
import org.baobabknot.relay.ValueServer;
import org.baobabknot.settings.FleetSettings;
import org.jspecify.annotations.Nullable;

/**
 * A gateway process: follows the configuration, accepts the requests of callers, chooses
 * targets for them and returns the responses. All state is confined to one event loop.
 */
public final class Gateway {

	private static final long NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

	private static final long SWEEP_INTERVAL_MS = 50;

	private static final int SWEEPS_PER_CONNECTION_CHECK = 10;

	/** Fraction of the time for revoking a key for which a confirmation is valid. */
	private static final double MAX_KEY_AGE_RATIO = 0.8;

	/** Time after SIGTERM with new connections: two missed health checks and 1 s more. */
	private static final long BALANCER_LAG_MS = 3_500;

	/** Time for final answers to reach their callers before the process ends. */
	private static final long FINAL_ANSWERS_MS = 100;

	/** Fraction of the time until SIGKILL after which open requests are ended. */
	private static final double DRAIN_TIMEOUT_RATIO = 0.95;

	/** Remaining time of a caller that states none; typical is about a second. */
	private static final long DEFAULT_REMAINING_MS = 1_000;

	/** Fraction of the file descriptors for connections of callers. */
	private static final double CALLER_DESCRIPTORS_RATIO = 0.5;

	/** Fraction of the heap for buffered responses; buffers grow by doubling. */
	private static final double RESPONSE_HEAP_RATIO = 0.2;

	/**
	 * Fraction of the heap for request bodies, which are held until their requests end. A
	 * body is copied once while it is received.
	 */
	private static final double BODY_HEAP_RATIO = 0.25;

	/** Fraction of the heap for pipelined requests of callers. */
	private static final double PIPELINE_HEAP_RATIO = 0.1;

	/**
	 * Pipelined bytes that are read from one caller, as large as a typical body. They are
	 * read because a close of the connection is only seen after them.
	 */
	private static final int MAX_PIPELINED_BYTES = 1 << 20;

	/** Largest response that is buffered, as large as the largest request. */
	private static final int MAX_RESPONSE_BYTES = 4 << 20;

	private final FleetSettings settings;

	private final EventLoop loop;

	private final DecisionLog log;

	private final FleetView view;

	private final StoreClient store;

	private final FleetFeed feed;

	private final ValueServer valueServer;

	private final EntryRegistration registration;

	private final TargetPool targetPool;

	private final BufferBudget responseBudget;

	private final BufferBudget bodyBudget;

	private final BufferBudget pipelineBudget;

	private final LoadReceiver loadReceiver;

	private final RequestGuard requestGuard;

	private final SharedLimits sharedLimits;

	private final TargetSelection selection;

	private final ServiceTraffic traffic;

	private final RandomGenerator random = new SplittableRandom();

	private final GatewayMetrics metrics;

	private final StatementLog statementLog;

	private final LoopDelayMeter loopDelay;

	private final OperatorServer operatorPort;

	private final Set<GatewayConnection> connections = new HashSet<>();

	private final Set<GatewayRequest> requests = new HashSet<>();

	private final CompletableFuture<Void> shutdownComplete = new CompletableFuture<>();

	private volatile boolean ready;

	private volatile boolean shuttingDown;

	private boolean ending;

	private @Nullable ShutdownWindow shutdownWindow;

	private @Nullable Channel callerPort;

	private int sweepCount;

	/**
	 * Creates a gateway without binding its ports.
	 * @param settings its settings
	 * @param group supplies its event loop, an NIO group
	 * @param log log of its decisions
	 */
	public Gateway(FleetSettings settings, EventLoopGroup group, DecisionLog log) {
		this(settings, group, log, Runtime.getRuntime().maxMemory());
	}

	/**
	 * Creates a gateway that uses a part of the heap.
	 * @param settings its settings
	 * @param group supplies its event loop, an NIO group
	 * @param log log of its decisions
	 * @param heapBytes memory of which it may fill parts with what it holds for callers
	 */
	Gateway(FleetSettings settings, EventLoopGroup group, DecisionLog log, long heapBytes) {
		this.responseBudget = new BufferBudget((long) (heapBytes * RESPONSE_HEAP_RATIO), MAX_RESPONSE_BYTES);
		this.bodyBudget = new BufferBudget((long) (heapBytes * BODY_HEAP_RATIO), Integer.MAX_VALUE);
		this.pipelineBudget = new BufferBudget((long) (heapBytes * PIPELINE_HEAP_RATIO), MAX_PIPELINED_BYTES);
		this.settings = settings;
		this.loop = group.next();
		this.log = log;
		this.view = new FleetView(settings.regionByDomain());
		PrometheusRegistry registry = new PrometheusRegistry();
		this.store = new StoreClient(this.loop, settings.storeAddress().host(), settings.storeAddress().port(),
				settings.storeRates(), new StoreCallMetrics(registry, log));
		FleetSettings.Bounds bounds = settings.bounds();
		EntryRecord self = new EntryRecord(settings.instance(), settings.region(), settings.host(),
				settings.peerPort());
		Supplier<ValueSources> sources = () -> ValueSources.forEntry(this.view.entries(), self);
		SourceTiming timing = bounds.sourceTiming();
		ValueRelay startRelay = new ValueRelay(this.loop, timing,
				() -> ValueSources.forStart(otherEntries(), settings.region(), settings.instance()));
		this.feed = FleetFeed.forGateway(this.store, new ValueRelay(this.loop, timing, sources), startRelay,
				new ValueRelay(this.loop, timing, sources), this.view, this.loop, timing.confirmMs(),
				bounds.versionMs(), bounds.heartbeatMs(), this::changed);
		this.valueServer = new ValueServer(this.loop, this.feed::snapshot);
		this.valueServer.onEra(this.feed::recordEra);
		this.feed.onUpdate(this.valueServer::respondToWaiting);
		this.registration = new EntryRegistration(this.store, this.loop, self, this.view);
		this.targetPool = new TargetPool(this.loop, this.view, log);
		this.requestGuard = new RequestGuard(settings.instance(), this.loop, log, this.random,
				new RequestGuard.Peers(this::otherEntries, this::sendReport), new GuardedRequests());
		this.sharedLimits = new SharedLimits(self, this.loop, System::nanoTime, this.random,
				new SharedLimits.Peers(this::otherEntries, this::sendPermits), this.view::limitDivisor,
				this.targetPool::findLimit, this::permitRequested);
		this.targetPool.reportedStatements(this.sharedLimits::knownStatement);
		this.loadReceiver = new LoadReceiver(new PeerReports(this.targetPool, this.requestGuard, this.sharedLimits),
				this::otherEntriesOfRegion);
		this.selection = new TargetSelection(settings, this.view, this.targetPool,
				new Placement(PlacementSettings.defaults(), this.random));
		this.traffic = new ServiceTraffic(this.view, bounds);
		this.loopDelay = new LoopDelayMeter(SWEEP_INTERVAL_MS, registry, log);
		this.metrics = new GatewayMetrics(registry, log::droppedLines, this.targetPool::statedLimits);
		this.statementLog = new StatementLog(log, this.metrics);
		this.operatorPort = new OperatorServer(this.loop, registry, () -> this.ready);
	}

	/**
	 * Binds the ports and starts to follow the configuration.
	 * @return completed when all ports are bound
	 */
	public CompletableFuture<Void> start() {
		FleetSettings.HostPort callerAddress = this.settings.callerAddress().orElseThrow();
		FleetSettings.HostPort readinessAddress = this.settings.readinessAddress().orElseThrow();
		return CallerPort.bind(this.loop, callerAddress, this::accept)
			.thenAccept((bound) -> this.callerPort = bound)
			.thenCompose((done) -> this.operatorPort.bind(readinessAddress.host(), readinessAddress.port()))
			.thenCompose((done) -> this.operatorPort.bind(this.settings.host(), this.settings.metricsPort()))
			.thenCompose((done) -> this.loadReceiver.bind(this.loop, this.settings.host(), this.settings.peerPort()))
			.thenCompose((done) -> this.valueServer.bind(this.settings.host(), this.settings.peerPort()))
			.thenRun(() -> {
				// The processes to follow depend on all entries, including this one.
				this.registration.start().thenRun(this.feed::start);
				this.loop.scheduleAtFixedRate(this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
				this.loop.execute(this.requestGuard::start);
			});
	}

	/**
	 * Reports not ready, accepts requests until the load balancer has noticed, and then
	 * drains the connections. What is open when the time for draining is over gets a
	 * final answer. A repeated call has no further effect.
	 * @return completed when no request is open or the final answers were sent
	 */
	public CompletableFuture<Void> shutDown() {
		this.shuttingDown = true;
		long signalNanos = System.nanoTime();
		this.loop.execute(() -> {
			if (this.shutdownWindow != null) {
				return;
			}
			this.ready = false;
			this.sharedLimits.issuerNotices().leave();
			this.registration.stop();
			long drainMs = (long) (this.settings.bounds().shutdownMs() * DRAIN_TIMEOUT_RATIO);
			ShutdownWindow window = new ShutdownWindow(signalNanos + BALANCER_LAG_MS * NANOS_PER_MS,
					signalNanos + drainMs * NANOS_PER_MS);
			this.shutdownWindow = window;
			this.loop.schedule(this::continueStop, window.drainNanos() - System.nanoTime(), TimeUnit.NANOSECONDS);
			this.loop.schedule(this::continueStop, window.endNanos() - System.nanoTime(), TimeUnit.NANOSECONDS);
		});
		return this.shutdownComplete;
	}

	private void continueStop() {
		ShutdownWindow window = this.shutdownWindow;
		Channel port = this.callerPort;
		if (window == null || this.ending) {
			return;
		}
		long now = System.nanoTime();
		List.copyOf(this.connections)
			.stream()
			.filter((each) -> window.closesIdle(each.openedNanos(), now))
			.forEach(GatewayConnection::drain);
		boolean admitted = !this.requests.isEmpty() || this.connections.stream()
			.anyMatch((each) -> each.busy() && window.servesConnection(each.openedNanos()));
		boolean accepting = port != null && port.isOpen();
		boolean open = this.connections.stream()
			.anyMatch((each) -> each.busy() || !window.servesConnection(each.openedNanos()));
		switch (window.nextStep(now, new ShutdownWindow.Open(admitted, accepting, open))) {
			case STOP_ACCEPTING -> Objects.requireNonNull(port).close();
			case END -> this.shutdownComplete.complete(null);
			case END_OPEN_REQUESTS -> endOpenRequests();
			case GO_ON -> {
			}
		}
	}

	private void endOpenRequests() {
		this.ending = true;
		this.loop.schedule(() -> this.shutdownComplete.complete(null), FINAL_ANSWERS_MS, TimeUnit.MILLISECONDS);
		List.copyOf(this.connections).forEach((connection) -> guard("end-request", connection::processEnding));
	}

	// An error of one request must not keep the others, or the process, from ending.
	private void guard(String step, Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			this.log.line(DecisionLog.Importance.STATE, "step-failed")
				.with("step", step)
				.with("error", String.valueOf(ex))
				.write();
		}
	}

	String instance() {
		return this.settings.instance();
	}

	EventLoop loop() {
		return this.loop;
	}

	FleetView view() {
		return this.view;
	}

	BufferBudget pipelineBudget() {
		return this.pipelineBudget;
	}

	BufferBudget bodyBudget() {
		return this.bodyBudget;
	}

	BufferBudget responseBudget() {
		return this.responseBudget;
	}

	DecisionLog log() {
		return this.log;
	}

	RandomGenerator random() {
		return this.random;
	}

	CallerLimits limits() {
		return this.view.configuration().map(FleetConfiguration::callerLimits).orElse(CallerLimits.DEFAULT);
	}

	// True from the start of the shutdown: responses close their connections.
	boolean draining() {
		return this.shuttingDown;
	}

	/**
	 * Returns whether the time for open requests is over.
	 * @return whether this process ends with what is still open
	 */
	boolean ending() {
		return this.ending;
	}

	/**
	 * Logs a request that was rejected before its body was complete.
	 * @param requestId identity of the request, empty if it has none
	 * @param error response to the caller
	 */
	void requestRejected(String requestId, ErrorResponse error) {
		this.log
			.line((this.ending) ? DecisionLog.Importance.PROCESS_END : DecisionLog.Importance.FAILURE,
					"request-rejected")
			.with("request", requestId)
			.with("reason", error.reason())
			.with("status", error.status().code())
			.write();
	}

	/**
	 * Logs a response that the end of this process cuts before its caller has it.
	 * @param requestId identity of the request, empty if it has none
	 * @param unwrittenBytes bytes that were not passed to the network
	 */
	void responseCut(String requestId, long unwrittenBytes) {
		this.log.line(DecisionLog.Importance.PROCESS_END, "response-cut")
			.with("request", requestId)
			.with("unwrittenBytes", unwrittenBytes)
			.write();
	}

	/**
	 * Returns what this process decides while it is being stopped.
	 * @return the decisions, empty before the stop signal
	 */
	Optional<ShutdownWindow> shutdownWindow() {
		return Optional.ofNullable(this.shutdownWindow);
	}

	long viewAgeMs() {
		return this.view.freshness().ageMs(System.nanoTime(), System.currentTimeMillis());
	}

	/**
	 * Tells whether no known key can have been revoked for longer than allowed.
	 * @return whether requests with a key may be admitted
	 */
	boolean keysFresh() {
		return viewAgeMs() < this.settings.bounds().keyMs() * MAX_KEY_AGE_RATIO;
	}

	// Followed processes may relay fresh keys while this process can't reach the store.
	private boolean targetsFresh() {
		return this.feed.targetsAgeMs() < this.settings.bounds().keyMs() * MAX_KEY_AGE_RATIO;
	}

	/**
	 * Tells whether the local configuration is certainly the one in force.
	 * @return whether routes and keys missing from it may be denied
	 */
	boolean configurationCurrent() {
		return this.feed.isConnected() && viewAgeMs() < this.settings.bounds().configurationMs() && keysFresh();
	}

	void requestConfirmation() {
		this.feed.confirmNow();
	}

	/**
	 * Returns the delay after which a refused caller should retry.
	 * @param policy policy that determines the delay
	 * @param waitMs predicted time until capacity is free, in ms
	 * @param remainingMs remaining time of the caller in ms, negative if it states none
	 * @return delay in ms
	 */
	long retryAfterMs(RetryAfter policy, double waitMs, long remainingMs) {
		return policy.delayMs(waitMs, (remainingMs >= 0) ? remainingMs : DEFAULT_REMAINING_MS, this.random);
	}

	/**
	 * Withdraws one retry from the budget of a service.
	 * @param service name of the service
	 * @return whether the retry is allowed
	 */
	boolean tryRetry(String service) {
		boolean allowed = this.traffic.tryRetry(service, System.nanoTime());
		if (allowed) {
			this.metrics.retryStarted();
		}
		return allowed;
	}

	StatementLog statementLog() {
		return this.statementLog;
	}

	GatewayMetrics metrics() {
		return this.metrics;
	}

	RequestGuard requestGuard() {
		return this.requestGuard;
	}

	SharedLimits sharedLimits() {
		return this.sharedLimits;
	}

	PooledTarget pooledTarget(TargetRecord target) {
		return this.targetPool.pooledTarget(target);
	}

	GatewayRequest createRequest(GatewayConnection caller, HttpRequest head, byte[] body) {
		return new GatewayRequest(this, caller, PlatformHeaders.decodeRequest(head), head.headers(), body);
	}

	TargetSelection selection() {
		return this.selection;
	}

	ServiceTraffic traffic() {
		return this.traffic;
	}

	void requestAdmitted(GatewayRequest request, String service) {
		this.requests.add(request);
		this.traffic.recordArrival(service, System.nanoTime());
	}

	void requestCompleted(GatewayRequest request, String outcome, long durationMs) {
		this.requests.remove(request);
		this.metrics.requestCompleted(outcome, durationMs);
	}

	void send(TargetAttempt attempt, CallerRequestHead head, HttpHeaders callerHeaders, byte[] body, String workspace,
			int urgency, long remainingMs, long resumeAfter) {
		TargetRequestHead targetHead = new TargetRequestHead(remainingMs, attempt.target().id(), workspace,
				Math.min(9, Math.max(0, urgency)), 0, resumeAfter);
		Duration timeout = Duration.ofMillis(remainingMs + 1_000);
		HttpCall call = new HttpCall(head.method(), head.path(),
				PlatformHeaders.targetHeaders(callerHeaders, targetHead), timeout, timeout, body.length,
				head.requestId());
		HttpExchange exchange = attempt.pooledTarget().client().open(call, attempt);
		attempt.exchange(exchange);
		if (body.length > 0) {
			exchange.write(Unpooled.wrappedBuffer(body));
		}
		exchange.end();
		this.metrics.attemptStarted();
	}

	void connectionOpened(GatewayConnection connection) {
		this.connections.add(connection);
	}

	void connectionClosed(GatewayConnection connection) {
		this.connections.remove(connection);
	}

	private void accept(Channel channel) {
		if (this.connections.size() >= this.settings.resources().descriptors() * CALLER_DESCRIPTORS_RATIO) {
			this.log.line(DecisionLog.Importance.FAILURE, "caller-refused")
				.with("connections", this.connections.size())
				.write();
			channel.close();
			return;
		}
		GatewayConnection connection = new GatewayConnection(this);
		HttpDecoderConfig decoder = new HttpDecoderConfig().setMaxInitialLineLength(limits().maxHeaderBytes())
			.setMaxHeaderSize(limits().maxHeaderBytes());
		channel.pipeline().addLast(new ChannelInboundHandlerAdapter() {
			@Override
			public void channelRead(ChannelHandlerContext context, Object message) {
				connection.bytesReceived();
				context.fireChannelRead(message);
			}
		}, new HttpServerCodec(decoder), connection);
	}

	private List<EntryRecord> otherEntriesOfRegion() {
		return otherEntries().stream().filter((entry) -> entry.region().equals(this.settings.region())).toList();
	}

	private List<EntryRecord> otherEntries() {
		return this.view.entries()
			.stream()
			.filter((entry) -> !entry.instance().equals(this.settings.instance()))
			.toList();
	}

	private void permitRequested(PermitResult result) {
		this.metrics.permitRequested(result);
	}

	private void sendPermits(PermitMessage message, List<EntryRecord> recipients) {
		this.loadReceiver.sendPermits(message, recipients);
	}

	private void sendReport(PartReport report, List<EntryRecord> recipients) {
		this.loadReceiver.send(report, recipients);
	}

	private void sweep() {
		long now = System.nanoTime();
		long wallMs = System.currentTimeMillis();
		this.loopDelay.recordRun(now);
		guard("update-limits", () -> updateLimits(now));
		if (this.view.freshness().hasJumped(now, wallMs)) {
			this.feed.confirmNow();
		}
		List.copyOf(this.requests).forEach((request) -> guard("check-request", () -> request.checkTimeouts(now)));
		boolean nowReady = this.view.configuration().isPresent() && keysFresh() && targetsFresh();
		if (nowReady != this.ready && !this.shuttingDown) {
			this.ready = nowReady;
			this.log.line(DecisionLog.Importance.STATE, "ready")
				.with("ready", Boolean.toString(nowReady))
				.with("ageMs", viewAgeMs())
				.write();
		}
		guard("withdraw-waiting", this.targetPool::withdrawFromUnavailable);
		this.sweepCount++;
		if (this.sweepCount % SWEEPS_PER_CONNECTION_CHECK == 0) {
			CallerLimits limits = limits();
			List.copyOf(this.connections)
				.forEach((connection) -> guard("check-connection", () -> connection.checkTimeouts(limits, now)));
			this.targetPool.sweep();
		}
		guard("continue-stop", this::continueStop);
	}

	private void updateLimits(long now) {
		this.registration.heldUntilNanos()
			.ifPresentOrElse((untilNanos) -> this.sharedLimits.ranking().recordRegistration(untilNanos, now),
					this.sharedLimits.ranking()::recordUnregistered);
		this.view.entriesReadNanos()
			.ifPresent((readNanos) -> this.sharedLimits.ranking().recordList(this.view.entries(), readNanos));
		this.sharedLimits.issuerNotices().announce();
	}

	private void changed(String kind, String detail) {
		this.log.line(DecisionLog.Importance.STATE, kind).with("detail", detail).with("ageMs", viewAgeMs()).write();
	}

	/**
	 * The open requests, as the guard needs them.
	 */
	private final class GuardedRequests implements RequestGuard.Requests {

		@Override
		public boolean isInFlight(Collection<Long> traits) {
			return Gateway.this.requests.stream().anyMatch((request) -> request.awaitsResponseWith(traits));
		}

		@Override
		public void rejectQuarantined() {
			List.copyOf(Gateway.this.requests).forEach(GatewayRequest::rejectIfQuarantined);
		}

	}

}
