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
import org.baobabknot.fleet.HeldVersion;
import org.baobabknot.fleet.ModelLayout;
import org.baobabknot.fleet.ServiceDefinition;
import org.baobabknot.fleet.TargetRecord;
import org.baobabknot.fleet.ValueSources;
import org.baobabknot.link.BulkWindow;
import org.baobabknot.observe.DecisionLog;
import org.baobabknot.observe.OperatorServer;
import org.baobabknot.observe.StoreCallMetrics;
import org.baobabknot.provider.EngineClient;
import org.baobabknot.provider.FleetFeed;
import org.baobabknot.provider.StoreClient;
import org.baobabknot.relay.ValueRelay;
import org.baobabknot.settings.FleetSettings;
import org.baobabknot.weights.Digests;
import org.baobabknot.weights.Manifest;
import org.jspecify.annotations.Nullable;

/**
 * A loader process: fetches the versions of weights that operators set as wanted, stages
 * them at the engine on its machine and orders the engine to load them. All state is
 * confined to one event loop.
 */
public final class Loader {

	private static final long NANOS_PER_MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

	/** Interval at which the engine is polled and each fetch starts its requests. */
	private static final long TICK_MS = 50;

	/** Ticks between two polls of an engine that holds the wanted versions. */
	private static final int IDLE_POLL_TICKS = 3;

	/**
	 * Link delay from which on it is logged. A latency objective is a few times as long.
	 */
	private static final double CONGESTED_LINK_DELAY_MS = 100;

	private final FleetSettings settings;

	private final EventLoop loop;

	private final DecisionLog log;

	private final FleetView view;

	private final StoreClient store;

	private final FleetFeed feed;

	private final EngineClient engine;

	private final HttpChunkServer chunkServer;

	private final LoadReporter loadReporter;

	private final BulkWindow downloadWindow = new BulkWindow();

	private final OperatorServer operatorServer;

	private final StagingAreas stagingAreas;

	private final Map<String, VersionFetch> fetches = new HashMap<>();

	private final Map<String, VersionFetch> prefetches = new HashMap<>();

	private final Map<String, VersionFetch> heldFetches = new HashMap<>();

	private final ManifestCache manifestCache;

	private final VersionFetch.ChunkTransport transport;

	private boolean engineStatePending;

	private int ticks;

	private long engineStartMs = -1;

	private boolean idle;

	private boolean linkCongested;

	/**
	 * Creates a loader that is not started.
	 * @param settings settings of the process
	 * @param group event loop group, an NIO group, of which one loop is used
	 * @param log receives the events of the loader
	 */
	public Loader(FleetSettings settings, EventLoopGroup group, DecisionLog log) {
		this.settings = settings;
		this.loop = group.next();
		this.log = log;
		this.view = new FleetView(settings.regionByDomain());
		PrometheusRegistry registry = new PrometheusRegistry();
		this.store = new StoreClient(this.loop, settings.storeAddress().host(), settings.storeAddress().port(),
				settings.storeRates(), new StoreCallMetrics(registry, log));
		ValueRelay relay = new ValueRelay(this.loop, settings.bounds().sourceTiming(),
				() -> ValueSources.forOtherProcess(this.view.entries(), settings.region(), settings.instance()));
		this.feed = FleetFeed.forLoader(this.store, relay, this.view, this.loop, settings.bounds().versionMs(),
				settings.bounds().heartbeatMs(), this::changed);
		FleetSettings.HostPort address = settings.engine().orElseThrow().address();
		this.engine = new EngineClient(this.loop, address.host(), address.port());
		this.loadReporter = new LoadReporter(address.host() + ":" + address.port(), settings.region());
		this.chunkServer = new HttpChunkServer(this.loop, settings.failureDomain(),
				settings.resources().linkBytesPerSecond(), this.loadReporter, this.downloadWindow, this::findFetch);
		this.manifestCache = new ManifestCache(this.loop);
		this.stagingAreas = new StagingAreas(this.engine, log, registry,
				(state) -> this.loadReporter.reportIfChanged(state.runningRequests(), state.queuedRequests(), false, 0),
				this.loop.ticker());
		this.transport = new HttpChunkTransport(settings, this.loop, this.stagingAreas, this.chunkServer,
				this.loadReporter, this.manifestCache::origin);
		this.operatorServer = new OperatorServer(this.loop, registry, () -> true);
	}

	/**
	 * Binds the ports and starts to follow the wanted versions.
	 * @return completed when other loaders can request chunks from this one
	 */
	public CompletableFuture<Void> start() {
		return this.chunkServer.bind(this.settings.host(), this.settings.peerPort())
			.thenCompose((done) -> this.operatorServer.bind(this.settings.host(), this.settings.metricsPort()))
			.thenRun(() -> {
				this.feed.start();
				this.loadReporter.open(this.loop, this.settings.host());
				this.loop.scheduleAtFixedRate(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
			});
	}

	private void tick() {
		Optional<ServiceDefinition> service = this.view.configuration()
			.flatMap((configuration) -> configuration.service(this.settings.engine().orElseThrow().service()));
		if (service.isEmpty() || service.get().modelLayout() == null) {
			return;
		}
		this.view.configuration()
			.flatMap((configuration) -> configuration.origins().stream().findFirst())
			.ifPresent(this.manifestCache::origin);
		List.copyOf(this.fetches.values()).forEach((fetch) -> stepFetch(service.get(), fetch));
		List.copyOf(this.prefetches.values()).forEach((fetch) -> stepFetch(service.get(), fetch));
		this.loadReporter.updateEntries(this.view.entries());
		this.ticks++;
		boolean skipEngine = this.idle && this.ticks % IDLE_POLL_TICKS != 0;
		if (!skipEngine || this.chunkServer.uploadInProgress()) {
			this.loadReporter.sendProbe();
			logLinkDelay();
			this.chunkServer.refuseWhenLinkSlow();
		}
		if (this.engineStatePending || skipEngine) {
			return;
		}
		this.engineStatePending = true;
		long sentNanos = this.loop.ticker().nanoTime();
		this.engine.state().thenAccept((state) -> {
			this.engineStatePending = false;
			state.ifPresentOrElse((engineState) -> {
				this.stagingAreas.recordState(engineState, sentNanos);
				handleEngineState(service.get(), engineState);
			}, () -> handleNoState(service.get()));
		});
	}

	private void logLinkDelay() {
		double delayMs = this.loadReporter.linkDelayMs();
		boolean congested = delayMs >= CONGESTED_LINK_DELAY_MS;
		if (congested || this.linkCongested) {
			this.log
				.line((congested == this.linkCongested) ? DecisionLog.Importance.SUCCESS : DecisionLog.Importance.STATE,
						"link-filled")
				.with("filled", Boolean.toString(congested))
				.with("delayMs", Math.round(delayMs))
				.with("fetches", this.fetches.size() + this.prefetches.size())
				.write();
		}
		this.linkCongested = congested;
	}

	private void handleNoState(ServiceDefinition service) {
		if (this.engine.hasEnded()) {
			this.stagingAreas.recordEngineEnded();
		}
		fetchBeforeEngineStarts(service);
	}

	// An engine takes longer to start than its loader, which meanwhile fetches from other
	// loaders. If no other loader is listed as a holder, the whole fleet is starting and
	// its engines may already hold the version, so nothing is fetched yet.
	private void fetchBeforeEngineStarts(ServiceDefinition service) {
		this.idle = false;
		for (String model : service.models()) {
			long wanted = Math.max(1, this.view.wantedVersion(model));
			if (!this.fetches.containsKey(model) && !this.heldFetches.containsKey(model)
					&& holders(service, model, wanted).stream()
						.anyMatch((peer) -> !peer.instance().equals(this.settings.host()))) {
				startFetch(service, model, wanted, this.fetches);
			}
		}
	}

	private void stepFetch(ServiceDefinition service, VersionFetch fetch) {
		fetch.startDueRequests(loaderPeers(service.name(), (target) -> true),
				holders(service, fetch.model(), fetch.version()));
	}

	private List<Peer> holders(ServiceDefinition service, String model, long version) {
		int layers = Objects.requireNonNull(service.modelLayout()).layers();
		return loaderPeers(service.name(),
				(target) -> target.holding(model)
					.filter((holding) -> holding.version() == version && holding.isComplete(layers))
					.isPresent());
	}

	private static void cancelIfIncomplete(@Nullable VersionFetch fetch) {
		if (fetch != null && !fetch.chunks().complete()) {
			fetch.cancel();
		}
	}

	private void handleEngineState(ServiceDefinition service, EngineClient.EngineState state) {
		if (state.startedMs() != this.engineStartMs) {
			this.engineStartMs = state.startedMs();
			this.stagingAreas.clearLastOrders();
			// The engine has restarted, and a power loss also clears its staging area.
			this.heldFetches.values().forEach((fetch) -> {
				for (int index = 0; index < fetch.chunks().manifest().chunkCount(); index++) {
					fetch.restage(index);
				}
				if (!this.fetches.containsKey(fetch.model())) {
					activate(fetch);
				}
			});
		}
		int slots = this.view.targets(service.name())
			.stream()
			.filter((target) -> target.host().equals(this.settings.host()))
			.mapToInt(TargetRecord::slots)
			.max()
			.orElse(0);
		this.loadReporter.reportIfChanged(state.runningRequests(), state.queuedRequests(), !state.loading(), slots);
		this.idle = true;
		for (String model : service.models()) {
			long wanted = Math.max(1, this.view.wantedVersion(model));
			HeldVersion none = new HeldVersion(model, 0, 0, 0);
			HeldVersion current = none;
			for (HeldVersion holding : state.holdings()) {
				current = (holding.model().equals(model)) ? holding : current;
			}
			int layers = (service.modelLayout() != null) ? service.modelLayout().layers() : 1;
			long version = (current.isComplete(layers)) ? current.version() : 0;
			if (version < wanted) {
				this.idle = false;
				updateEngine(service, model, wanted, version, state);
			}
			else {
				this.stagingAreas.of(model).clearLastOrder();
				cancelIfIncomplete(this.fetches.remove(model));
				cancelIfIncomplete(this.prefetches.remove(model));
				serveHeldVersion(service, model, version);
			}
		}
	}

	// Loaders that are added later fetch the version from loaders whose engines hold it.
	// The chunks to serve are read from the engine's staging area.
	private void serveHeldVersion(ServiceDefinition service, String model, long heldVersion) {
		VersionFetch heldFetch = this.heldFetches.get(model);
		if (heldFetch != null && heldFetch.version() >= heldVersion) {
			return;
		}
		this.manifestCache.findOrRequest(service.name(), model, heldVersion).ifPresent((manifest) -> {
			VersionFetch fetch = newFetch(model, heldVersion, manifest, true);
			this.heldFetches.put(model, fetch);
			this.stagingAreas.of(model).recover(fetch);
		});
	}

	private void updateEngine(ServiceDefinition service, String model, long wanted, long heldVersion,
			EngineClient.EngineState state) {
		VersionFetch fetch = this.fetches.get(model);
		if (fetch != null && fetch.version() <= heldVersion) {
			fetch = promotePrefetch(model);
		}
		if (fetch == null) {
			VersionFetch heldFetch = this.heldFetches.get(model);
			if (heldFetch != null && heldFetch.version() == wanted && heldFetch.chunks().complete()) {
				activate(heldFetch);
			}
			else {
				startFetch(service, model, wanted, this.fetches);
			}
			return;
		}
		if (fetch.version() < wanted) {
			if (fetch.superseded() || shouldSkip(service, fetch, wanted)) {
				fetch.supersede();
				startFetch(service, model, wanted, this.fetches);
				return;
			}
			if (fetch.chunks().complete()) {
				prefetch(service, model, wanted);
			}
		}
		if (fetch.chunks().complete() && !this.heldFetches.containsValue(fetch)) {
			this.heldFetches.put(model, fetch);
			this.log.line(DecisionLog.Importance.STATE, "version-fetched")
				.with("version", fetch.version())
				.with("tookMs", fetch.durationMs())
				.with("fromOrigin", fetch.originChunks())
				.with("corrupt", fetch.corruptChunks())
				.write();
		}
		long now = System.nanoTime();
		if (fetch.staged() && now - loadDueNanos(service, model, heldVersion, now) >= 0) {
			this.stagingAreas.of(model).orderIfDue(fetch, state);
		}
	}

	private @Nullable VersionFetch promotePrefetch(String model) {
		this.fetches.remove(model);
		VersionFetch next = this.prefetches.remove(model);
		if (next != null) {
			activate(next);
			next.startStaging();
		}
		return next;
	}

	private void activate(VersionFetch fetch) {
		this.fetches.put(fetch.model(), fetch);
		this.stagingAreas.of(fetch.model()).request(fetch.version());
	}

	// Fetches a newer version into memory while the previous one still waits in the
	// engine's staging area for its load order. The staging area holds only one version.
	private void prefetch(ServiceDefinition service, String model, long wanted) {
		VersionFetch next = this.prefetches.get(model);
		if (next == null || (next.version() < wanted && shouldSkip(service, next, wanted))) {
			startFetch(service, model, wanted, this.prefetches);
		}
	}

	private boolean shouldSkip(ServiceDefinition service, VersionFetch fetch, long wanted) {
		Optional<Long> fetchNamedNanos = this.view.wantedSince(fetch.model(), fetch.version() - 1);
		Optional<Long> wantedNamedNanos = this.view.wantedSince(fetch.model(), wanted - 1);
		if (fetchNamedNanos.isEmpty() || wantedNamedNanos.isEmpty()) {
			return true;
		}
		double millisecond = NANOS_PER_MILLISECOND;
		return loadTiming(service).skipPolicy()
			.shouldSkip(fetchNamedNanos.get() / millisecond, wantedNamedNanos.get() / millisecond,
					fetch.chunks().complete(), System.nanoTime() / millisecond);
	}

	private LoadTiming loadTiming(ServiceDefinition service) {
		ModelLayout layout = Objects.requireNonNull(service.modelLayout());
		return LoadTiming.of((double) layout.chunks() * layout.chunkBytes(),
				this.settings.resources().linkBytesPerSecond(), layout.loadMs(), this.settings.bounds().versionMs());
	}

	// An engine that holds no version loads immediately.
	private long loadDueNanos(ServiceDefinition service, String model, long heldVersion, long now) {
		Optional<Long> namedNanos = this.view.wantedSince(model, heldVersion);
		if (heldVersion == 0 || namedNanos.isEmpty()) {
			return now;
		}
		List<String> hosts = new ArrayList<>();
		for (TargetRecord target : this.view.targets(service.name())) {
			hosts.add(target.host());
		}
		hosts.sort(Comparator.comparing((String host) -> Digests.of(host + model)));
		int rank = Math.max(0, hosts.indexOf(this.settings.host()));
		return namedNanos.get() + (long) loadTiming(service).loadDueMs(rank, hosts.size()) * NANOS_PER_MILLISECOND;
	}

	private void startFetch(ServiceDefinition service, String model, long wanted,
			Map<String, VersionFetch> fetchesByModel) {
		VersionFetch previous = fetchesByModel.get(model);
		Optional<Manifest> manifest = this.manifestCache.findOrRequest(service.name(), model, wanted);
		if (manifest.isEmpty() || (previous != null && previous.version() >= wanted)) {
			return;
		}
		if (previous != null) {
			previous.cancel();
		}
		VersionFetch fetch = newFetch(model, wanted, manifest.get(), fetchesByModel == this.fetches);
		VersionFetch heldFetch = this.heldFetches.get(model);
		if (heldFetch != null) {
			fetch.reuseUnchangedChunks(heldFetch.chunks());
		}
		if (fetchesByModel == this.fetches) {
			activate(fetch);
		}
		else {
			fetchesByModel.put(model, fetch);
		}
		this.log.line(DecisionLog.Importance.STATE, "version-fetch")
			.with("version", wanted)
			.with("insteadOf", (previous != null) ? previous.version() : 0)
			.write();
		if (heldFetch == null) {
			this.stagingAreas.of(model).recover(fetch);
		}
		stepFetch(service, fetch);
	}

	private VersionFetch newFetch(String model, long version, Manifest manifest, boolean stageImmediately) {
		return new VersionFetch(this.transport, model, version, manifest,
				new Peer(this.settings.host(), this.settings.failureDomain(), this.settings.region()),
				this.downloadWindow, stageImmediately);
	}

	private List<Peer> loaderPeers(String service, Predicate<TargetRecord> filter) {
		List<Peer> loaders = new ArrayList<>();
		for (TargetRecord target : this.view.targets(service)) {
			if (!target.leaving() && filter.test(target)) {
				loaders.add(new Peer(target.host(), target.domain(), this.view.region(target.domain())));
			}
		}
		return loaders;
	}

	private Optional<VersionFetch> findFetch(String model, long version) {
		for (Map<String, VersionFetch> fetchesByModel : List.of(this.fetches, this.prefetches, this.heldFetches)) {
			VersionFetch fetch = fetchesByModel.get(model);
			if (fetch != null && fetch.version() == version) {
				return Optional.of(fetch);
			}
		}
		return Optional.empty();
	}

	private void changed(String kind, String detail) {
		this.log.line(DecisionLog.Importance.STATE, kind).with("detail", detail).write();
		if (kind.equals("version-wanted")) {
			this.idle = false;
		}
	}

}
