package org.baobabknot.agent.weights;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import org.baobabknot.agent.AdmissionGate;
import org.baobabknot.daemon.Node;
import org.baobabknot.membership.Member;
import org.baobabknot.membership.MemberState;
import org.baobabknot.origin.WeightOrigin;
import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.generated.ChunksHeld;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.rollout.RolloutEntry;
import org.baobabknot.rollout.RolloutKey;
import org.baobabknot.rollout.RolloutPhase;
import org.baobabknot.rollout.RolloutTable;
import org.baobabknot.rollout.SwitchDecision;
import org.baobabknot.rollout.SwitchScheduler;
import org.baobabknot.rules.Rule;
import org.baobabknot.target.Target;
import org.baobabknot.target.TargetStatus;
import org.baobabknot.weights.Manifest;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the target of an agent on the version that the rules ask for: fetches it, takes
 * part in the rollout of the group and loads it when it is this agent's turn. All
 * decisions are taken on one event loop.
 */
public final class AgentWeights {

	private static final long TICK_MILLIS = 50;

	/** Bitmaps are sent again this often in case a connection was replaced. */
	private static final int TICKS_PER_BITMAP = 20;

	/** A lost connection is replaced within seconds unless the agent is gone. */
	private static final long UNREACHABLE_NANOS = TimeUnit.SECONDS.toNanos(10);

	/** Attempts for a manifest are this many ticks apart. */
	private static final int TICKS_PER_MANIFEST = 10;

	private static final long SKIP_SECONDS = 30;

	/** Digits of the manifest digest that tell contents of one version name apart. */
	private static final int KEY_DIGITS = 16;

	private final Node node;

	private final String service;

	private final WeightOrigin origin;

	private final EventLoop loop;

	private final ExecutorService verifier;

	private final WeightStore store = new WeightStore();

	private final BulkConnections connections;

	private final ManifestFetch manifests;

	private final RolloutTable view;

	private final SwitchScheduler rank = new SwitchScheduler(TimeUnit.SECONDS.toNanos(SKIP_SECONDS));

	private final RolloutGossip gossip;

	private final VersionSwitch change;

	private final ChunkServer server;

	private final LongSupplier liveBytes;

	private final Map<String, Long> lastConnected = new HashMap<>();

	private long countedLiveBytes;

	private final AtomicBoolean tickQueued = new AtomicBoolean();

	private volatile @Nullable Download download;

	private @Nullable Download verified;

	private @Nullable Download mismatched;

	private boolean verifying;

	private boolean fetchingManifest;

	private int manifestAttempts;

	private int ticks;

	private BitSet announced = new BitSet();

	private volatile boolean closed;

	private volatile boolean switching;

	private volatile String waiting = "";

	/**
	 * Creates the parts and registers the handlers.
	 * @param node parts of the process
	 * @param service service of the target
	 * @param origin the origin of the weights
	 * @param gate admission to the target
	 * @param target the target
	 * @param status last status of the target
	 * @param poll asks the target for its status
	 * @param liveBytes bytes of answers sent since the start, to which bulk bytes yield
	 */
	public AgentWeights(Node node, String service, WeightOrigin origin, AdmissionGate gate, Target target,
			Supplier<Optional<TargetStatus>> status, Runnable poll, LongSupplier liveBytes) {
		this.node = node;
		this.service = service;
		this.origin = origin;
		this.loop = node.group().next();
		this.verifier = Executors.newSingleThreadExecutor((task) -> {
			Thread thread = new Thread(task, "weights");
			thread.setDaemon(true);
			return thread;
		});
		this.connections = new BulkConnections(node);
		this.manifests = new ManifestFetch(this.connections, origin);
		this.view = new RolloutTable(node.settings().instance(), node.incarnation());
		this.gossip = new RolloutGossip(node, service, this.view, this::changed);
		this.change = new VersionSwitch(node, gate, target, status, poll, this.loop, this::changed);
		this.server = new ChunkServer(node, this.store);
		this.liveBytes = liveBytes;
		node.streams().onMessage(Frame.BodyCase.CHUNKS_HELD, this::held);
		node.report()
			.status((report) -> report.setRolloutPhase(phase())
				.setChunksHeldPermille(heldPermille())
				.setWantedVersion(node.configuration().rules().modelFor(service).map(Rule.Model::version).orElse("")));
	}

	/**
	 * Starts to follow the rules and the member list.
	 */
	public void start() {
		this.node.configuration().listen((adopted) -> changed());
		this.node.membership().listen((members) -> changed());
		this.loop.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Stops all work; fetches under way end on their own.
	 */
	public void close() {
		this.closed = true;
		this.change.close();
		this.gossip.close();
		this.connections.close();
		this.verifier.shutdown();
	}

	/**
	 * Returns the phase of this agent in the rollout.
	 * @return the name of the phase
	 */
	public String phase() {
		return this.view.ownEntry().phase().name();
	}

	/**
	 * Tells whether the target is out for a switch that this agent started in its turn.
	 * @return false also while an empty target is loaded
	 */
	public boolean switching() {
		return this.switching && this.change.busy();
	}

	/**
	 * Returns why this agent does not switch.
	 * @return the reason of the last decision, for operators
	 */
	public String waiting() {
		return this.waiting;
	}

	/**
	 * Returns the part of the wanted version that is held.
	 * @return parts per thousand
	 */
	public int heldPermille() {
		Download current = this.download;
		return (current != null)
				? current.chunks().heldChunks().cardinality() * 1000 / current.chunks().manifest().chunkCount() : 0;
	}

	/**
	 * Returns the number of versions of which chunks are in memory.
	 * @return at most 2
	 */
	public int versionsHeld() {
		return this.store.versions();
	}

	// Several events lead to one run.
	private void changed() {
		if (!this.closed && this.tickQueued.compareAndSet(false, true)) {
			this.loop.execute(() -> {
				this.tickQueued.set(false);
				step();
			});
		}
	}

	private void tick() {
		this.ticks++;
		long live = this.liveBytes.getAsLong();
		this.server.live(live - this.countedLiveBytes);
		this.countedLiveBytes = live;
		step();
	}

	private void step() {
		if (this.closed) {
			return;
		}
		try {
			List<Member> all = live(this.node.membership().agents(this.service));
			List<Member> group = live(
					this.node.membership().agents(this.service, this.node.settings().failureDomain()));
			this.gossip.follow(group);
			this.node.configuration().rules().modelFor(this.service).ifPresent((rule) -> follow(rule, all, group));
			this.gossip.send(group.stream().map(Member::instance).toList());
		}
		catch (RuntimeException ex) {
			// A repeating task that throws would never run again.
			this.node.events().record("weights-error", String.valueOf(ex));
		}
	}

	private static List<Member> live(List<Member> members) {
		return members.stream().filter((member) -> member.state() == MemberState.LIVE).toList();
	}

	private void follow(Rule.Model rule, List<Member> all, List<Member> group) {
		Download current = this.download;
		if (current == null || !current.digest().equals(rule.digest())) {
			replace(rule, all);
			current = this.download;
		}
		boolean fetched = current != null && current.digest().equals(rule.digest());
		if (fetched) {
			current.agents(all);
			current.tick();
			exchange(current);
			verify(current);
		}
		announce(rule, fetched ? current : null);
		decide(rule, group, fetched ? current : null);
	}

	private void replace(Rule.Model rule, List<Member> all) {
		Optional<Manifest> known = this.store.find(rule.digest()).map((set) -> set.manifest());
		if (known.isPresent()) {
			begin(rule, known.get());
			return;
		}
		if (this.fetchingManifest || (this.manifestAttempts > 0 && this.ticks % TICKS_PER_MANIFEST != 0)) {
			return;
		}
		this.fetchingManifest = true;
		String self = this.node.settings().instance();
		List<String> peers = all.stream().map(Member::instance).filter((name) -> !name.equals(self)).toList();
		this.manifests.fetch(rule, peers, this.manifestAttempts++)
			.whenComplete((manifest, error) -> this.loop.execute(() -> {
				this.fetchingManifest = false;
				boolean wanted = this.node.configuration()
					.rules()
					.modelFor(this.service)
					.map((now) -> now.digest().equals(rule.digest()))
					.orElse(false);
				if (wanted && manifest != null && manifest.isPresent()) {
					begin(rule, manifest.get());
					changed();
				}
			}));
	}

	private void begin(Rule.Model rule, Manifest manifest) {
		Download before = this.download;
		if (before != null) {
			before.abandon();
		}
		this.manifestAttempts = 0;
		this.announced = new BitSet();
		this.node.events().record("fetch-started", rule.version());
		this.download = new Download(this.node, rule.digest(), this.store.want(rule.digest(), manifest),
				this.connections, this.origin, this.verifier, this::changed);
	}

	private void exchange(Download current) {
		BitSet held = current.chunks().heldChunks();
		if (held.equals(this.announced) && this.ticks % TICKS_PER_BITMAP != 0) {
			return;
		}
		this.announced = held;
		ChunksHeld.Builder message = ChunksHeld.newBuilder()
			.setDigest(current.digest())
			.setBitmap(ByteString.copyFrom(held.toByteArray()));
		for (String neighbour : current.planner().neighbours()) {
			this.node.peers()
				.connection(neighbour)
				.ifPresent((connection) -> connection.send(Frame.newBuilder().setChunksHeld(message)));
		}
	}

	private void held(Connection connection, Frame frame) {
		Download current = this.download;
		ChunksHeld message = frame.getChunksHeld();
		if (current != null && current.digest().equals(message.getDigest())) {
			current.planner()
				.recordHeldChunks(connection.peerHello().getInstance(),
						BitSet.valueOf(message.getBitmap().toByteArray()), this.node.now());
			changed();
		}
	}

	private void verify(Download current) {
		if (this.verified == current || this.mismatched == current || this.verifying || !current.chunks().complete()) {
			return;
		}
		this.verifying = true;
		this.verifier.execute(() -> {
			boolean whole = current.chunks().verifyWhole();
			this.loop.execute(() -> {
				this.verifying = false;
				this.verified = whole ? current : this.verified;
				this.mismatched = whole ? this.mismatched : current;
				this.node.events().record(whole ? "fetch-verified" : "fetch-mismatch", current.digest());
				changed();
			});
		});
	}

	// While the target is out for an earlier rollout its entry stays, because others
	// count on it; the new one is announced when the target is back.
	private void announce(Rule.Model rule, @Nullable Download current) {
		if (this.change.busy()) {
			return;
		}
		RolloutEntry own = this.view.ownEntry();
		RolloutKey key = this.view.keyFor(rule.version() + "@" + rule.digest().substring(0, KEY_DIGITS),
				this.node.configuration().revision());
		int late = key.version().equals(own.key().version()) ? own.moveBackCount() : 0;
		this.view.announce(key, phase(current), late);
	}

	private RolloutPhase phase(@Nullable Download current) {
		if (this.change.empty()) {
			return RolloutPhase.OUT;
		}
		if (current != null && this.change.runs(current.chunks().manifest().wholeDigest())) {
			return RolloutPhase.DONE;
		}
		return (current != null && this.verified == current) ? RolloutPhase.READY : RolloutPhase.FETCHING;
	}

	private void decide(Rule.Model rule, List<Member> group, @Nullable Download current) {
		if (this.change.busy()) {
			return;
		}
		if (this.change.empty()) {
			// The target is out already, so it loads at once and takes nobody's place.
			if (current != null && this.verified == current) {
				this.switching = false;
				this.change.start(current.chunks());
			}
			return;
		}
		if (this.change.status().isEmpty()) {
			return;
		}
		SwitchDecision decision = this.rank.decide(this.view, reachable(group), rule.out(), this.node.now());
		RolloutEntry own = this.view.ownEntry();
		if (decision instanceof SwitchDecision.Switch && current != null) {
			this.view.announce(own.key(), RolloutPhase.OUT, own.moveBackCount());
			this.switching = true;
			this.change.start(current.chunks());
		}
		else if (decision instanceof SwitchDecision.Wait wait) {
			this.waiting = wait.reason();
		}
		else if (decision instanceof SwitchDecision.MoveBack back) {
			this.node.events().record("rollout-late", "moved back " + back.moveBackCount() + " times");
			this.view.announce(own.key(), own.phase(), back.moveBackCount());
		}
	}

	// The member list may name a dead agent for long, which would block the rollout. An
	// agent without a connection counts as listed for some seconds only; the order then
	// adds its own time-out before it passes the agent over.
	private List<String> reachable(List<Member> group) {
		long now = this.node.now();
		List<String> names = new ArrayList<>();
		for (Member member : group) {
			String instance = member.instance();
			boolean self = instance.equals(this.node.settings().instance());
			if (self || this.node.peers().connection(instance).isPresent()) {
				this.lastConnected.put(instance, now);
			}
			long last = this.lastConnected.computeIfAbsent(instance, (absent) -> now);
			if (now - last < UNREACHABLE_NANOS) {
				names.add(instance);
			}
		}
		this.lastConnected.keySet().retainAll(group.stream().map(Member::instance).toList());
		return names;
	}

}
