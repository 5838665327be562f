package org.baobabknot.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpServerCodec;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.baobabknot.fleet.CallerLimits;
import org.baobabknot.fleet.EntryRecord;
import org.baobabknot.fleet.FleetConfiguration;
import org.baobabknot.fleet.FleetView;
import org.baobabknot.fleet.Holding;
import org.baobabknot.fleet.ServiceDefinition;
import org.baobabknot.fleet.TargetRecord;
import org.baobabknot.fleet.ValueSources;
import org.baobabknot.httpclient.HttpCall;
import org.baobabknot.httpclient.HttpExchange;
import org.baobabknot.observe.DecisionLog;
import org.baobabknot.observe.LoopDelay;
import org.baobabknot.observe.OperatorPort;
import org.baobabknot.observe.StoreCalls;
import org.baobabknot.placement.ArrivalRate;
import org.baobabknot.placement.Candidate;
import org.baobabknot.placement.ColdSenders;
import org.baobabknot.placement.Placement;
import org.baobabknot.placement.PlacementResult;
import org.baobabknot.placement.PlacementSettings;
import org.baobabknot.placement.RequestEstimate;
import org.baobabknot.placement.RetryAfter;
import org.baobabknot.provider.CallerHead;
import org.baobabknot.provider.EntryRegistration;
import org.baobabknot.provider.FleetFeed;
import org.baobabknot.provider.RequestDialect;
import org.baobabknot.provider.StoreClient;
import org.baobabknot.provider.TargetCallHead;
import org.baobabknot.relay.ValueRelay;
import org.baobabknot.relay.ValueServer;
import org.baobabknot.retry.FleetRetryBudget;
import org.baobabknot.settings.FleetSettings;

/**
 * A gateway process: follows the configuration, takes requests of callers, places them on
 * targets and gives their answers back. All state belongs to one event loop.
 */
public final class Gateway {

	private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

	private static final long SWEEP_MS = 50;

	private static final int SWEEPS_PER_CHECK = 10;

	/**
	 * Part of the life of a revoked key after which the store must confirm it again: the
	 * confirmation passes through other gateways, of which one may fail on the way.
	 */
	private static final double CONFIRM_SHARE = 0.25;

	/** Part of the life of a revoked key for which a confirmation counts. */
	private static final double KEY_SHARE = 0.8;

	/**
	 * Time before the bound of a new version at which older ones get no request any more:
	 * half a second until a change is read in a storm of them, and the time to the first
	 * byte of an answer.
	 */
	private static final long VERSION_MARGIN_MS = 800;

	/** Part of the repeats allowed that the processes use together. */
	private static final double REPEAT_SHARE = 0.8;

	/**
	 * Time after SIGTERM in which the balancer still sends connections: two missed checks
	 * and one more second.
	 */
	private static final long BALANCER_LAG_MS = 3_500;

	/** Part of the time until SIGKILL after which open requests are given up. */
	private static final double SHUTDOWN_SHARE = 0.95;

	/** Time that a caller has left that states none, in ms: a second or so is usual. */
	private static final long UNSTATED_LEFT_MS = 1_000;

	private static final int BACKLOG = 1_024;

	/** Reads of one connection before the others have their turn; Netty's own number. */
	private static final int READS_IN_A_TURN = 16;

	/** Part of the file descriptors for connections of callers. */
	private static final double CALLER_SHARE = 0.5;

	/**
	 * Part of the heap for answers that are collected whole; buffers grow by doubling.
	 */
	private static final double ANSWER_SHARE = 0.2;

	/** Part of the heap for what callers send ahead of an answer. */
	private static final double AHEAD_SHARE = 0.1;

	/**
	 * Bytes that one caller sends ahead and that are still read, as large as a usual
	 * body. The close of a caller shows only behind what it has sent.
	 */
	private static final int MOST_AHEAD_BYTES = 1 << 20;

	/** Largest answer that is collected whole, as large as the largest request. */
	private static final int MOST_ANSWER_BYTES = 4 << 20;

	/** Time that a plain service usually takes, until its answers tell. */
	private static final double USUAL_MS = 50;

	private static final double USUAL_NEWEST = 0.05;

	private final FleetSettings settings;

	private final EventLoop loop;

	private final DecisionLog log;

	private final FleetView view;

	private final StoreClient store;

	private final FleetFeed feed;

	private final ValueServer values;

	private final EntryRegistration registration;

	private final TargetPool targets;

	private final SharedMemory answerMemory = new SharedMemory((long) (Runtime.getRuntime().maxMemory() * ANSWER_SHARE),
			MOST_ANSWER_BYTES);

	private final SharedMemory aheadMemory = new SharedMemory((long) (Runtime.getRuntime().maxMemory() * AHEAD_SHARE),
			MOST_AHEAD_BYTES);

	private final Placement placement;

	private final RandomGenerator random = new SplittableRandom();

	private final Map<String, ArrivalRate> rates = new HashMap<>();

	private final Map<String, FleetRetryBudget> budgets = new HashMap<>();

	private final GatewayMetrics metrics;

	private final LoopDelay delay;

	private final OperatorPort operator;

	private final Set<GatewayConnection> connections = new HashSet<>();

	private final Set<GatewayRequest> requests = new HashSet<>();

	private final Map<String, Double> usualMs = new HashMap<>();

	private final CompletableFuture<Void> ended = new CompletableFuture<>();

	private volatile boolean ready;

	private volatile boolean leaving;

	private boolean draining;

	private int sweeps;

	/**
	 * Creates a gateway that does not listen yet.
	 * @param settings its settings
	 * @param group supplies its event loop, an NIO group
	 * @param log receives its decisions
	 */
	public Gateway(FleetSettings settings, EventLoopGroup group, DecisionLog log) {
		this.settings = settings;
		this.loop = group.next();
		this.log = log;
		this.view = new FleetView(settings.domains());
		PrometheusRegistry registry = new PrometheusRegistry();
		this.store = new StoreClient(this.loop, settings.store().host(), settings.store().port(),
				new StoreCalls(registry, log));
		FleetSettings.Bounds bounds = settings.bounds();
		EntryRecord self = new EntryRecord(settings.instance(), settings.region(), settings.host(),
				settings.peerPort());
		ValueRelay relay = new ValueRelay(this.loop, () -> ValueSources.forEntry(this.view.entries(), self));
		this.feed = FleetFeed.gateway(this.store, relay, this.view, this.loop, (long) (bounds.keyMs() * CONFIRM_SHARE),
				bounds.versionMs(), this::changed);
		this.values = new ValueServer(this.loop, this.feed::snapshot);
		this.feed.onNews(this.values::news);
		this.registration = new EntryRegistration(this.store, this.loop, self);
		this.targets = new TargetPool(this.loop, this.view);
		this.placement = new Placement(PlacementSettings.defaults(), this.random);
		this.delay = new LoopDelay(SWEEP_MS, registry, log);
		this.metrics = new GatewayMetrics(registry, log::dropped);
		this.operator = new OperatorPort(this.loop, registry, () -> this.ready);
	}

	/**
	 * Starts to listen and to follow the configuration.
	 * @return completed when the gateway listens
	 */
	public CompletableFuture<Void> start() {
		FleetSettings.HostPort callers = this.settings.callers().orElseThrow();
		FleetSettings.HostPort readiness = this.settings.readiness().orElseThrow();
		CompletableFuture<Void> bound = new CompletableFuture<>();
		new ServerBootstrap().group(this.loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			// Reads until nothing is left, so that a close right behind a request is seen
			// before the request is sent on.
			.childOption(ChannelOption.RCVBUF_ALLOCATOR,
					new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(READS_IN_A_TURN))
			.childOption(ChannelOption.SO_KEEPALIVE, true)
			.childHandler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					accept(channel);
				}
			})
			.bind(callers.host(), callers.port())
			.addListener((done) -> {
				if (done.isSuccess()) {
					bound.complete(null);
				}
				else {
					bound.completeExceptionally(done.cause());
				}
			});
		return bound.thenCompose((done) -> this.operator.bind(readiness.host(), readiness.port()))
			.thenCompose((done) -> this.operator.bind(this.settings.host(), this.settings.metricsPort()))
			.thenCompose((done) -> new LoadReceiver(this.targets).bind(this.loop, this.settings.host(),
					this.settings.peerPort()))
			.thenCompose((done) -> this.values.bind(this.settings.host(), this.settings.peerPort()))
			.thenRun(() -> {
				// Whom to follow depends on all entries, also on this one.
				this.registration.start().thenRun(this.feed::start);
				this.loop.scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
			});
	}

	/**
	 * Reports itself not ready, serves on until the balancer has noticed, finishes open
	 * requests and ends.
	 * @return completed when nothing is open any more
	 */
	public CompletableFuture<Void> shutDown() {
		this.leaving = true;
		this.loop.execute(() -> {
			this.ready = false;
			this.registration.stop();
			this.loop.schedule(() -> {
				this.draining = true;
				List.copyOf(this.connections).forEach(GatewayConnection::drain);
			}, BALANCER_LAG_MS, TimeUnit.MILLISECONDS);
			this.loop.schedule(() -> this.ended.complete(null),
					(long) (this.settings.bounds().shutdownMs() * SHUTDOWN_SHARE), TimeUnit.MILLISECONDS);
		});
		return this.ended;
	}

	EventLoop loop() {
		return this.loop;
	}

	FleetView view() {
		return this.view;
	}

	SharedMemory aheadMemory() {
		return this.aheadMemory;
	}

	SharedMemory answerMemory() {
		return this.answerMemory;
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

	boolean draining() {
		return this.leaving;
	}

	long ageMs() {
		return this.view.freshness().ageMs(System.nanoTime(), System.currentTimeMillis());
	}

	/**
	 * Tells whether the keys that are known can't have been taken away for too long.
	 * @return whether requests with a key may be admitted
	 */
	boolean keysKnown() {
		return ageMs() < this.settings.bounds().keyMs() * KEY_SHARE;
	}

	// Followed processes may reach the store while this one doesn't.
	private boolean targetsKnown() {
		return this.feed.targetsAgeMs() < this.settings.bounds().keyMs() * KEY_SHARE;
	}

	/**
	 * Tells whether the configuration that is known is surely the one in force.
	 * @return whether what it lacks may be denied
	 */
	boolean current() {
		return this.feed.connected() && keysKnown();
	}

	void confirm() {
		this.feed.confirmNow();
	}

	/**
	 * Returns when a caller that is refused should come back.
	 * @param policy what decides the time
	 * @param waitMs predicted time until there is room, in ms
	 * @param leftMs time that the caller has left in ms, negative if it states none
	 * @return time in ms
	 */
	long returnMs(RetryAfter policy, double waitMs, long leftMs) {
		return policy.delayMs(waitMs, (leftMs >= 0) ? leftMs : UNSTATED_LEFT_MS, this.random);
	}

	double usualMs(String service) {
		return this.usualMs.getOrDefault(service, USUAL_MS);
	}

	/**
	 * Takes one repeat out of the budget of a service.
	 * @param service name of the service
	 * @return whether the repeat is allowed
	 */
	boolean tryRepeat(String service) {
		boolean allowed = budget(service).tryWithdraw(this.view.limitDivisor(), System.nanoTime());
		if (allowed) {
			this.metrics.repeated();
		}
		return allowed;
	}

	GatewayRequest open(GatewayConnection caller, HttpRequest head, byte[] body) {
		return new GatewayRequest(this, caller, RequestDialect.caller(head), head.headers(), body);
	}

	private FleetRetryBudget budget(String service) {
		FleetSettings.Bounds bounds = this.settings.bounds();
		return this.budgets.computeIfAbsent(service, (name) -> new FleetRetryBudget(bounds.retryRatio() * REPEAT_SHARE,
				bounds.retryMinimum() * REPEAT_SHARE, bounds.retryWindowMs()));
	}

	void admitted(GatewayRequest request, String service) {
		this.requests.add(request);
		long now = System.nanoTime();
		budget(service).deposit(now);
		this.rates.computeIfAbsent(service, (name) -> new ArrivalRate()).count(now);
	}

	/**
	 * Estimates the requests of all entries for a service.
	 * @param service name of the service
	 * @param nowNanos monotonic time
	 * @return requests in a second, 0 as long as the number of entries is not known
	 */
	double requestsPerSecond(String service, long nowNanos) {
		ArrivalRate own = this.rates.get(service);
		return (own != null && this.view.entriesComplete()) ? own.perSecond(nowNanos) * this.view.limitDivisor() : 0;
	}

	void finished(GatewayRequest request, String outcome, long tookMs) {
		this.requests.remove(request);
		this.metrics.ended(outcome, tookMs);
	}

	/**
	 * Chooses a target.
	 * @param service service of the request
	 * @param model model that is asked for, empty for none
	 * @param regions regions allowed, empty for all
	 * @param tried targets that were tried
	 * @param work what the request asks
	 * @return the target, or why there is none
	 */
	PlacementResult place(ServiceDefinition service, String model, Set<String> regions, Set<String> tried,
			RequestEstimate work) {
		long now = System.nanoTime();
		FleetSettings.Bounds bounds = this.settings.bounds();
		int coldSenders = ColdSenders.maxSenders(service.coldRatePerSecond(), bounds.coldOvershoot(),
				bounds.coldSlack());
		List<Candidate> candidates = new ArrayList<>();
		for (TargetRecord target : this.view.targets(service.name())) {
			String region = this.view.region(target.domain());
			if (target.leaving() || tried.contains(target.id()) || this.view.domainsOut().contains(target.domain())
					|| (!regions.isEmpty() && !regions.contains(region))) {
				continue;
			}
			TargetState state = this.targets.state(target);
			if (service.modelLayout() != null && !model.isEmpty()) {
				Optional<Holding> holding = target.holding(model);
				if (holding.isEmpty() || !holding.get().isComplete(service.modelLayout().layers())
						|| Math.max(holding.get().version(), state.load().version()) < requiredVersion(model,
								now + (long) (state.load().lagMs(now) * MILLISECOND))) {
					continue;
				}
			}
			boolean cold = service.coldRatePerSecond() > 0 && this.view.coldLeftMs(target, now) > 0;
			if (cold && this.view.entriesComplete() && !ColdSenders.isSender(target.id(), this.settings.instance(),
					this.view.entryInstances(), coldSenders)) {
				continue;
			}
			candidates.add(new Candidate(target, state.load(), cold, target.domain().equals(this.settings.domain()),
					region.equals(this.settings.region())));
		}
		// Without the whole list each entry must reckon with all others.
		int senders = (this.view.entriesComplete()) ? Math.min(coldSenders, this.view.limitDivisor())
				: this.view.limitDivisor();
		return this.placement.choose(candidates, work, service.coldRatePerSecond(), senders, now);
	}

	/**
	 * Tells whether a request that has not begun at a target must not begin there any
	 * more.
	 * @param attempt the request at the target
	 * @param model its model, empty for none
	 * @param now monotonic time
	 * @return whether the target runs a version that is no longer allowed
	 */
	boolean outdated(TargetAttempt attempt, String model, long now) {
		if (model.isEmpty()) {
			return false;
		}
		long held = this.view.target(attempt.target().id())
			.flatMap((target) -> target.holding(model))
			.map(Holding::version)
			.orElse(0L);
		return Math.max(held, attempt.load().version()) < requiredVersion(model, now);
	}

	private long requiredVersion(String model, long now) {
		return this.view.requiredVersion(model, now,
				(this.settings.bounds().versionMs() - VERSION_MARGIN_MS) * MILLISECOND);
	}

	void send(TargetAttempt attempt, CallerHead head, HttpHeaders received, byte[] body, String workspace, int urgency,
			long leftMs, long resumeAfter) {
		TargetCallHead added = new TargetCallHead(leftMs, attempt.target().id(), workspace,
				Math.min(9, Math.max(0, urgency)), 0, resumeAfter);
		Duration longest = Duration.ofMillis(leftMs + 1_000);
		HttpCall call = new HttpCall(head.method(), head.path(), RequestDialect.toTarget(received, added), longest,
				longest, body.length);
		HttpExchange exchange = this.targets.state(attempt.target()).client().open(call, attempt);
		attempt.exchange(exchange);
		if (body.length > 0) {
			exchange.write(Unpooled.wrappedBuffer(body));
		}
		exchange.end();
		this.metrics.sent();
	}

	void answeredIn(TargetAttempt attempt, double tookMs, ServiceDefinition service) {
		attempt.load().recordSlowness(tookMs / Math.max(1, attempt.predictedMs()), System.nanoTime());
		if (service.engineSpeed() == null) {
			this.usualMs.merge(service.name(), tookMs,
					(before, newest) -> before * (1 - USUAL_NEWEST) + newest * USUAL_NEWEST);
		}
	}

	void opened(GatewayConnection connection) {
		this.connections.add(connection);
		if (this.draining) {
			connection.drain();
		}
	}

	void closed(GatewayConnection connection) {
		this.connections.remove(connection);
	}

	private void accept(Channel channel) {
		if (this.connections.size() >= this.settings.resources().descriptors() * CALLER_SHARE) {
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
				connection.bytesArrived();
				context.fireChannelRead(message);
			}
		}, new HttpServerCodec(decoder), connection);
	}

	private void sweep() {
		long now = System.nanoTime();
		long wall = System.currentTimeMillis();
		this.delay.ran(now);
		if (this.view.freshness().hasJumped(now, wall)) {
			this.feed.confirmNow();
		}
		List.copyOf(this.requests).forEach((request) -> request.check(now));
		boolean known = this.view.configuration().isPresent() && keysKnown() && targetsKnown();
		if (known != this.ready && !this.leaving) {
			this.ready = known;
			this.log.line(DecisionLog.Importance.STATE, "ready")
				.with("ready", Boolean.toString(known))
				.with("ageMs", ageMs())
				.write();
		}
		this.sweeps++;
		if (this.sweeps % SWEEPS_PER_CHECK == 0) {
			CallerLimits limits = limits();
			List.copyOf(this.connections).forEach((connection) -> connection.check(limits, now));
			this.targets.sweep();
		}
		if (this.draining && this.requests.isEmpty() && this.connections.stream().noneMatch(GatewayConnection::busy)) {
			this.ended.complete(null);
		}
	}

	private void changed(String kind, String detail) {
		this.log.line(DecisionLog.Importance.STATE, kind).with("detail", detail).with("ageMs", ageMs()).write();
	}

}
