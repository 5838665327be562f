package org.baobabknot.loader;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.baobabknot.distribution.LoadTiming;
import org.baobabknot.distribution.Peer;
import org.baobabknot.fleet.FleetView;
import org.baobabknot.fleet.FollowOrder;
import org.baobabknot.fleet.Holding;
import org.baobabknot.fleet.ModelLayout;
import org.baobabknot.fleet.ServiceDefinition;
import org.baobabknot.fleet.TargetRecord;
import org.baobabknot.link.BulkWindow;
import org.baobabknot.observe.DecisionLog;
import org.baobabknot.observe.OperatorPort;
import org.baobabknot.observe.StoreCalls;
import org.baobabknot.provider.EngineClient;
import org.baobabknot.provider.FleetFeed;
import org.baobabknot.provider.StoreClient;
import org.baobabknot.relay.ValueRelay;
import org.baobabknot.settings.FleetSettings;
import org.baobabknot.weights.Digests;
import org.baobabknot.weights.Manifest;
import org.jspecify.annotations.Nullable;

/**
 * A loader process: keeps the engine on its machine at the version of weights that the
 * operators ask for. All state belongs to one event loop.
 */
public final class Loader {

	private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

	/** Time between two looks at the engine, and between two steps of a fetch. */
	private static final long TICK_MS = 50;

	/** Ticks between two looks at an engine that has what it should have. */
	private static final int TICKS_AT_REST = 3;

	/**
	 * Delay of the link that is worth a line, in ms: an objective is a few times that.
	 */
	private static final double FILLED_LINK_MS = 100;

	private final FleetSettings settings;

	private final EventLoop loop;

	private final DecisionLog log;

	private final FleetView view;

	private final StoreClient store;

	private final FleetFeed feed;

	private final EngineClient engine;

	private final ChunkServer server;

	private final LoadSender sender;

	private final BulkWindow downloads = new BulkWindow();

	private final OperatorPort operator;

	private final LoadOrders orders;

	private final Map<String, VersionFetch> fetches = new HashMap<>();

	private final Map<String, VersionFetch> ahead = new HashMap<>();

	private final Map<String, VersionFetch> complete = new HashMap<>();

	private final Manifests manifests;

	private final VersionFetch.Sources sources;

	private boolean asking;

	private int ticks;

	private long bornMs = -1;

	private boolean resting;

	private boolean linkFilled;

	/**
	 * Creates a loader that does nothing yet.
	 * @param settings its settings
	 * @param group supplies its event loop, an NIO group
	 * @param log receives its decisions
	 */
	public Loader(FleetSettings settings, EventLoopGroup group, DecisionLog log) {
		this.settings = settings;
		this.loop = group.next();
		this.log = log;
		this.view = new FleetView(settings.domains());
		PrometheusRegistry registry = new PrometheusRegistry();
		this.store = new StoreClient(this.loop, settings.store().host(), settings.store().port(),
				new StoreCalls(registry, log));
		ValueRelay relay = new ValueRelay(this.loop,
				() -> FollowOrder.ofOther(this.view.entries(), settings.region(), settings.instance()));
		this.feed = FleetFeed.forLoader(this.store, relay, this.view, this.loop, settings.bounds().versionMs(),
				this::changed);
		FleetSettings.HostPort address = settings.engine().orElseThrow().address();
		this.engine = new EngineClient(this.loop, address.host(), address.port());
		this.sender = new LoadSender(address.host() + ":" + address.port(), settings.region());
		this.server = new ChunkServer(this.loop, settings.domain(), settings.resources().linkBytesPerSecond(),
				this.sender, this.downloads, this::version);
		this.manifests = new Manifests(this.loop);
		this.sources = new HttpSources(settings, this.loop, this.engine, this.server, this.sender,
				this.manifests::origin);
		this.orders = new LoadOrders(this.engine, log, registry, (state) -> this.sender.tell(this.view.entries(),
				state.runningRequests(), state.queuedRequests(), false, 0));
		this.operator = new OperatorPort(this.loop, registry, () -> true);
	}

	/**
	 * Starts to follow the versions that are asked for.
	 * @return completed when other loaders can ask this one
	 */
	public CompletableFuture<Void> start() {
		return this.server.bind(this.settings.host(), this.settings.peerPort())
			.thenCompose((done) -> this.operator.bind(this.settings.host(), this.settings.metricsPort()))
			.thenRun(() -> {
				this.feed.start();
				this.sender.open(this.loop, this.settings.host());
				this.loop.scheduleAtFixedRate(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
			});
	}

	private void tick() {
		Optional<ServiceDefinition> service = this.view.configuration()
			.flatMap((configuration) -> configuration.service(this.settings.engine().orElseThrow().service()));
		if (service.isEmpty() || service.get().origin() == null) {
			return;
		}
		this.view.configuration()
			.flatMap((configuration) -> configuration.origins().stream().findFirst())
			.ifPresent(this.manifests::origin);
		List.copyOf(this.fetches.values()).forEach((fetch) -> step(service.get(), fetch));
		List.copyOf(this.ahead.values()).forEach((fetch) -> step(service.get(), fetch));
		this.ticks++;
		boolean rests = this.resting && this.ticks % TICKS_AT_REST != 0;
		if (!rests || this.server.sending()) {
			this.sender.probe(this.view.entries());
			logLink();
			this.server.turnAwayWhenSlow();
		}
		if (this.asking || rests) {
			return;
		}
		this.asking = true;
		this.engine.state().thenAccept((state) -> {
			this.asking = false;
			state.ifPresentOrElse((found) -> look(service.get(), found), () -> prepare(service.get()));
		});
	}

	private void logLink() {
		double delayMs = this.sender.delayMs();
		boolean filled = delayMs >= FILLED_LINK_MS;
		if (filled || this.linkFilled) {
			this.log
				.line((filled == this.linkFilled) ? DecisionLog.Importance.SUCCESS : DecisionLog.Importance.STATE,
						"link-filled")
				.with("filled", Boolean.toString(filled))
				.with("delayMs", Math.round(delayMs))
				.with("fetches", this.fetches.size() + this.ahead.size())
				.write();
		}
		this.linkFilled = filled;
	}

	// An engine that starts answers later than its loader, which fetches meanwhile from
	// others. When no other one is listed the whole fleet starts, and its engines may
	// hold the version.
	private void prepare(ServiceDefinition service) {
		this.resting = false;
		for (String model : service.models()) {
			long wanted = Math.max(1, this.view.wantedVersion(model));
			if (!this.fetches.containsKey(model) && !this.complete.containsKey(model)
					&& holders(service, model, wanted).stream()
						.anyMatch((peer) -> !peer.instance().equals(this.settings.host()))) {
				begin(service, model, wanted, this.fetches);
			}
		}
	}

	private void step(ServiceDefinition service, VersionFetch fetch) {
		fetch.step(loaders(service.name(), (target) -> true), holders(service, fetch.model(), fetch.version()));
	}

	private List<Peer> holders(ServiceDefinition service, String model, long version) {
		int layers = Objects.requireNonNull(service.origin()).layers();
		return loaders(service.name(),
				(target) -> target.holding(model)
					.filter((holding) -> holding.version() == version && holding.whole(layers))
					.isPresent());
	}

	private static void drop(@Nullable VersionFetch fetch) {
		if (fetch != null && !fetch.chunks().complete()) {
			fetch.cancel();
		}
	}

	private void look(ServiceDefinition service, EngineClient.EngineState state) {
		if (state.startedMs() != this.bornMs) {
			this.bornMs = state.startedMs();
			this.orders.forget();
			// A machine that lost power has lost what was staged.
			this.complete.values().forEach((fetch) -> {
				for (int index = 0; index < fetch.chunks().manifest().chunkCount(); index++) {
					fetch.restage(index);
				}
				this.fetches.putIfAbsent(fetch.model(), fetch);
			});
		}
		int slots = this.view.targets(service.name())
			.stream()
			.filter((target) -> target.host().equals(this.settings.host()))
			.mapToInt(TargetRecord::slots)
			.max()
			.orElse(0);
		this.sender.tell(this.view.entries(), state.runningRequests(), state.queuedRequests(), !state.loading(), slots);
		this.resting = true;
		for (String model : service.models()) {
			long wanted = Math.max(1, this.view.wantedVersion(model));
			Holding none = new Holding(model, 0, 0, 0);
			Holding held = none;
			for (Holding holding : state.holdings()) {
				held = (holding.model().equals(model)) ? holding : held;
			}
			int layers = (service.origin() != null) ? service.origin().layers() : 1;
			long version = (held.whole(layers)) ? held.version() : 0;
			if (version < wanted) {
				this.resting = false;
				bring(service, model, wanted, version, state);
			}
			else {
				this.orders.forget();
				drop(this.fetches.remove(model));
				drop(this.ahead.remove(model));
				seed(service, model, version);
			}
		}
	}

	// Loaders of engines that are added later get the version from those whose engines
	// hold it, so its chunks are taken out of the engine's staging area.
	private void seed(ServiceDefinition service, String model, long held) {
		VersionFetch known = this.complete.get(model);
		if (known != null && known.version() >= held) {
			return;
		}
		this.manifests.find(service.name(), model, held).ifPresent((manifest) -> {
			VersionFetch seeded = fetch(model, held, manifest, true);
			this.complete.put(model, seeded);
			recover(seeded);
		});
	}

	private void bring(ServiceDefinition service, String model, long wanted, long held,
			EngineClient.EngineState state) {
		VersionFetch fetch = this.fetches.get(model);
		if (fetch != null && fetch.version() <= held) {
			fetch = promote(model);
		}
		if (fetch == null) {
			VersionFetch before = this.complete.get(model);
			if (before != null && before.version() == wanted && before.chunks().complete()) {
				this.fetches.put(model, before);
			}
			else {
				begin(service, model, wanted, this.fetches);
			}
			return;
		}
		if (fetch.version() < wanted) {
			if (fetch.superseded() || skips(service, fetch, wanted)) {
				fetch.supersede();
				begin(service, model, wanted, this.fetches);
				return;
			}
			if (fetch.chunks().complete()) {
				fetchAhead(service, model, wanted);
			}
		}
		if (fetch.chunks().complete() && !this.complete.containsValue(fetch)) {
			this.complete.put(model, fetch);
			this.log.line(DecisionLog.Importance.STATE, "version-fetched")
				.with("version", fetch.version())
				.with("tookMs", fetch.tookMs())
				.with("fromOrigin", fetch.fromOrigin())
				.with("corrupt", fetch.corrupt())
				.write();
		}
		long now = System.nanoTime();
		if (fetch.staged() && !state.loading() && this.orders.allowed(fetch.version(), now)
				&& now - dueNanos(service, model, held, now) >= 0) {
			this.orders.check(fetch, state);
		}
	}

	private @Nullable VersionFetch promote(String model) {
		this.fetches.remove(model);
		VersionFetch next = this.ahead.remove(model);
		if (next != null) {
			this.fetches.put(model, next);
			next.startStaging();
		}
		return next;
	}

	// A newer version is brought into memory while the one before still waits for its
	// order in the engine's staging area, which holds one version.
	private void fetchAhead(ServiceDefinition service, String model, long wanted) {
		VersionFetch next = this.ahead.get(model);
		if (next == null || (next.version() < wanted && skips(service, next, wanted))) {
			begin(service, model, wanted, this.ahead);
		}
	}

	private boolean skips(ServiceDefinition service, VersionFetch fetch, long wanted) {
		Optional<Long> named = this.view.wantedSince(fetch.model(), fetch.version() - 1);
		Optional<Long> newer = this.view.wantedSince(fetch.model(), wanted - 1);
		if (named.isEmpty() || newer.isEmpty()) {
			return true;
		}
		double millisecond = MILLISECOND;
		return timing(service).skipPolicy()
			.shouldSkip(named.get() / millisecond, newer.get() / millisecond, fetch.chunks().complete(),
					System.nanoTime() / millisecond);
	}

	private LoadTiming timing(ServiceDefinition service) {
		ModelLayout layout = Objects.requireNonNull(service.origin());
		return LoadTiming.of((double) layout.chunks() * layout.chunkBytes(),
				this.settings.resources().linkBytesPerSecond(), layout.loadMs(), this.settings.bounds().versionMs());
	}

	// An engine that holds nothing loads at once.
	private long dueNanos(ServiceDefinition service, String model, long held, long now) {
		Optional<Long> since = this.view.wantedSince(model, held);
		if (held == 0 || since.isEmpty()) {
			return now;
		}
		List<String> order = new ArrayList<>();
		for (TargetRecord target : this.view.targets(service.name())) {
			order.add(target.host());
		}
		order.sort(Comparator.comparing((String host) -> Digests.of(host + model)));
		int rank = Math.max(0, order.indexOf(this.settings.host()));
		return since.get() + (long) timing(service).loadDueMs(rank, order.size()) * MILLISECOND;
	}

	private void begin(ServiceDefinition service, String model, long wanted, Map<String, VersionFetch> to) {
		VersionFetch before = to.get(model);
		Optional<Manifest> manifest = this.manifests.find(service.name(), model, wanted);
		if (manifest.isEmpty() || (before != null && before.version() >= wanted)) {
			return;
		}
		if (before != null) {
			before.cancel();
		}
		VersionFetch fetch = fetch(model, wanted, manifest.get(), to == this.fetches);
		VersionFetch old = this.complete.get(model);
		if (old != null) {
			fetch.adoptFrom(old.chunks());
		}
		to.put(model, fetch);
		this.log.line(DecisionLog.Importance.STATE, "version-fetch")
			.with("version", wanted)
			.with("insteadOf", (before != null) ? before.version() : 0)
			.write();
		if (old == null) {
			recover(fetch);
		}
		step(service, fetch);
	}

	private VersionFetch fetch(String model, long version, Manifest manifest, boolean staging) {
		return new VersionFetch(this.sources, model, version, manifest,
				new Peer(this.settings.host(), this.settings.domain(), this.settings.region()), this.downloads,
				staging);
	}

	// After a restart of this process the engine may still have chunks staged.
	private void recover(VersionFetch fetch) {
		for (int index = 0; index < fetch.chunks().manifest().chunkCount(); index++) {
			int number = index;
			this.engine.readStagedChunk(fetch.model(), index)
				.thenAccept((bytes) -> bytes.ifPresent((found) -> fetch.found(number, found)));
		}
	}

	private List<Peer> loaders(String service, Predicate<TargetRecord> chosen) {
		List<Peer> loaders = new ArrayList<>();
		for (TargetRecord target : this.view.targets(service)) {
			if (!target.leaving() && chosen.test(target)) {
				loaders.add(new Peer(target.host(), target.domain(), this.view.region(target.domain())));
			}
		}
		return loaders;
	}

	private Optional<VersionFetch> version(String model, long version) {
		for (Map<String, VersionFetch> each : List.of(this.fetches, this.ahead, this.complete)) {
			VersionFetch fetch = each.get(model);
			if (fetch != null && fetch.version() == version) {
				return Optional.of(fetch);
			}
		}
		return Optional.empty();
	}

	private void changed(String kind, String detail) {
		this.log.line(DecisionLog.Importance.STATE, kind).with("detail", detail).write();
		if (kind.equals("version-wanted")) {
			this.resting = false;
		}
	}

}
