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
import org.baobabknot.daemon.ProcessContext;
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
 * Keeps the target of an agent on the version that the rules require: fetches it, takes
 * part in the rollout among the agents of the same service and failure domain (the
 * group), and loads it when the order of the rollout permits. All decisions are made on
 * one event loop.
 */
public final class AgentWeights {

	private static final long TICK_INTERVAL_MS = 50;

	/** Unchanged bitmaps are sent again, because a connection may have been replaced. */
	private static final int TICKS_PER_BITMAP_MESSAGE = 20;

	/** A lost connection is replaced within seconds unless the agent has stopped. */
	private static final long MAX_DISCONNECTED_NANOS = TimeUnit.SECONDS.toNanos(10);

	/** Interval between attempts to fetch a manifest. */
	private static final int TICKS_PER_MANIFEST_ATTEMPT = 10;

	private static final long SKIP_TIMEOUT_SECONDS = 30;

	/**
	 * Digits of the manifest digest in a rollout key, which distinguish different
	 * contents with the same version name.
	 */
	private static final int KEY_DIGEST_DIGITS = 16;

	private final ProcessContext process;

	private final String service;

	private final WeightOrigin origin;

	private final EventLoop eventLoop;

	private final ExecutorService verifier;

	private final WeightStore store = new WeightStore();

	private final BulkConnections connections;

	private final ManifestFetcher manifestFetcher;

	private final RolloutTable rolloutTable;

	private final SwitchScheduler scheduler = new SwitchScheduler(TimeUnit.SECONDS.toNanos(SKIP_TIMEOUT_SECONDS));

	private final RolloutGossip gossip;

	private final VersionSwitch versionSwitch;

	private final ChunkServer chunkServer;

	private final LongSupplier liveBytes;

	private final Map<String, Long> lastConnected = new HashMap<>();

	private long recordedLiveBytes;

	private final AtomicBoolean stepQueued = new AtomicBoolean();

	private volatile @Nullable Download download;

	private @Nullable Download verifiedDownload;

	private @Nullable Download mismatchedDownload;

	private boolean verifying;

	private boolean fetchingManifest;

	private int manifestAttempts;

	private int ticks;

	private BitSet announcedChunks = new BitSet();

	private volatile boolean closed;

	private volatile boolean switchStarted;

	private volatile String waitReason = "";

	/**
	 * Creates the parts and registers the message handlers.
	 * @param process the process
	 * @param service service of the target
	 * @param origin the origin of the weights
	 * @param gate admission of requests to the target
	 * @param target the target
	 * @param status supplies the last status of the target
	 * @param requestPoll requests a poll of the target's status
	 * @param liveBytes supplies the bytes of responses sent since the start; chunk
	 * transfers yield to this traffic
	 */
	public AgentWeights(ProcessContext process, String service, WeightOrigin origin, AdmissionGate gate, Target target,
			Supplier<Optional<TargetStatus>> status, Runnable requestPoll, LongSupplier liveBytes) {
		this.process = process;
		this.service = service;
		this.origin = origin;
		this.eventLoop = process.group().next();
		this.verifier = Executors.newSingleThreadExecutor((task) -> {
			Thread thread = new Thread(task, "weights");
			thread.setDaemon(true);
			return thread;
		});
		this.connections = new BulkConnections(process);
		this.manifestFetcher = new ManifestFetcher(this.connections, origin);
		this.rolloutTable = new RolloutTable(process.settings().instance(), process.incarnation());
		this.gossip = new RolloutGossip(process, service, this.rolloutTable, this::scheduleStep);
		this.versionSwitch = new VersionSwitch(process, gate, target, status, requestPoll, this.eventLoop,
				this::scheduleStep);
		this.chunkServer = new ChunkServer(process, this.store);
		this.liveBytes = liveBytes;
		process.streams().addMessageHandler(Frame.BodyCase.CHUNKS_HELD, this::onChunksHeld);
		process.statusReport()
			.addStatusSource((report) -> report.setRolloutPhase(phase())
				.setChunksHeldPermille(heldPermille())
				.setWantedVersion(
						process.configuration().rules().modelFor(service).map(Rule.Model::version).orElse("")));
	}

	/**
	 * Starts to apply changes of the rules and the member list.
	 */
	public void start() {
		this.process.configuration().addListener((adopted) -> scheduleStep());
		this.process.membership().addListener((members) -> scheduleStep());
		this.eventLoop.scheduleWithFixedDelay(this::tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Stops all work; fetches in flight end on their own.
	 */
	public void close() {
		this.closed = true;
		this.versionSwitch.close();
		this.gossip.close();
		this.connections.close();
		this.verifier.shutdown();
	}

	/**
	 * Returns the phase of this agent in the rollout.
	 * @return the name of the phase
	 */
	public String phase() {
		return this.rolloutTable.ownEntry().phase().name();
	}

	/**
	 * Returns whether the target is out for a switch that this agent started when the
	 * rollout permitted it.
	 * @return whether the target is out; false while an empty target is loaded
	 */
	public boolean isSwitching() {
		return this.switchStarted && this.versionSwitch.isBusy();
	}

	/**
	 * Returns why this agent has not switched its target yet.
	 * @return the reason of the last decision to wait, for operators; empty before the
	 * first one
	 */
	public String waitReason() {
		return this.waitReason;
	}

	/**
	 * Returns the share of chunks held of the version that is being fetched.
	 * @return chunks per thousand, 0 before the first fetch
	 */
	public int heldPermille() {
		Download current = this.download;
		return (current != null)
				? current.chunks().heldChunks().cardinality() * 1000 / current.chunks().manifest().chunkCount() : 0;
	}

	/**
	 * Returns the number of versions that have chunks in memory.
	 * @return at most 2
	 */
	public int heldVersionCount() {
		return this.store.versionCount();
	}

	// Combines events that arrive before the next step into one step.
	private void scheduleStep() {
		if (!this.closed && this.stepQueued.compareAndSet(false, true)) {
			this.eventLoop.execute(() -> {
				this.stepQueued.set(false);
				step();
			});
		}
	}

	private void tick() {
		this.ticks++;
		long currentLiveBytes = this.liveBytes.getAsLong();
		this.chunkServer.recordLiveBytes(currentLiveBytes - this.recordedLiveBytes);
		this.recordedLiveBytes = currentLiveBytes;
		step();
	}

	private void step() {
		if (this.closed) {
			return;
		}
		try {
			List<Member> allAgents = liveMembers(this.process.membership().agents(this.service));
			List<Member> group = liveMembers(
					this.process.membership().agents(this.service, this.process.settings().failureDomain()));
			this.gossip.connectToGroup(group);
			this.process.configuration()
				.rules()
				.modelFor(this.service)
				.ifPresent((rule) -> applyRule(rule, allAgents, group));
			this.gossip.send(group.stream().map(Member::instance).toList());
		}
		catch (RuntimeException ex) {
			// An exception would cancel the scheduled task.
			this.process.events().record("weights-error", String.valueOf(ex));
		}
	}

	private static List<Member> liveMembers(List<Member> members) {
		return members.stream().filter((member) -> member.state() == MemberState.LIVE).toList();
	}

	private void applyRule(Rule.Model rule, List<Member> allAgents, List<Member> group) {
		Download current = this.download;
		if (current == null || !current.digest().equals(rule.digest())) {
			replaceDownload(rule, allAgents);
			current = this.download;
		}
		boolean matchesRule = current != null && current.digest().equals(rule.digest());
		if (matchesRule) {
			current.updateAgents(allAgents);
			current.startDueFetches();
			announceHeldChunks(current);
			verifyDownload(current);
		}
		announcePhase(rule, matchesRule ? current : null);
		decideSwitch(rule, group, matchesRule ? current : null);
	}

	private void replaceDownload(Rule.Model rule, List<Member> allAgents) {
		Optional<Manifest> heldManifest = this.store.find(rule.digest()).map((set) -> set.manifest());
		if (heldManifest.isPresent()) {
			startDownload(rule, heldManifest.get());
			return;
		}
		if (this.fetchingManifest || (this.manifestAttempts > 0 && this.ticks % TICKS_PER_MANIFEST_ATTEMPT != 0)) {
			return;
		}
		this.fetchingManifest = true;
		String self = this.process.settings().instance();
		List<String> peers = allAgents.stream().map(Member::instance).filter((name) -> !name.equals(self)).toList();
		this.manifestFetcher.fetch(rule, peers, this.manifestAttempts++)
			.whenComplete((manifest, error) -> this.eventLoop.execute(() -> {
				this.fetchingManifest = false;
				boolean stillWanted = this.process.configuration()
					.rules()
					.modelFor(this.service)
					.map((now) -> now.digest().equals(rule.digest()))
					.orElse(false);
				if (stillWanted && manifest != null && manifest.isPresent()) {
					startDownload(rule, manifest.get());
					scheduleStep();
				}
			}));
	}

	private void startDownload(Rule.Model rule, Manifest manifest) {
		Download previous = this.download;
		if (previous != null) {
			previous.abandon();
		}
		this.manifestAttempts = 0;
		this.announcedChunks = new BitSet();
		this.process.events().record("fetch-started", rule.version());
		this.download = new Download(this.process, rule.digest(), this.store.setWanted(rule.digest(), manifest),
				this.connections, this.origin, this.verifier, this::scheduleStep);
	}

	private void announceHeldChunks(Download current) {
		BitSet held = current.chunks().heldChunks();
		if (held.equals(this.announcedChunks) && this.ticks % TICKS_PER_BITMAP_MESSAGE != 0) {
			return;
		}
		this.announcedChunks = held;
		ChunksHeld.Builder message = ChunksHeld.newBuilder()
			.setDigest(current.digest())
			.setBitmap(ByteString.copyFrom(held.toByteArray()));
		for (String neighbour : current.planner().neighbours()) {
			this.process.peers()
				.connection(neighbour)
				.ifPresent((connection) -> connection.send(Frame.newBuilder().setChunksHeld(message)));
		}
	}

	private void onChunksHeld(Connection connection, Frame frame) {
		Download current = this.download;
		ChunksHeld message = frame.getChunksHeld();
		if (current != null && current.digest().equals(message.getDigest())) {
			current.planner()
				.recordHeldChunks(connection.peerHello().getInstance(),
						BitSet.valueOf(message.getBitmap().toByteArray()), this.process.nowNanos());
			scheduleStep();
		}
	}

	private void verifyDownload(Download current) {
		if (this.verifiedDownload == current || this.mismatchedDownload == current || this.verifying
				|| !current.chunks().complete()) {
			return;
		}
		this.verifying = true;
		this.verifier.execute(() -> {
			boolean digestMatches = current.chunks().verifyWhole();
			this.eventLoop.execute(() -> {
				this.verifying = false;
				this.verifiedDownload = digestMatches ? current : this.verifiedDownload;
				this.mismatchedDownload = digestMatches ? this.mismatchedDownload : current;
				this.process.events().record(digestMatches ? "fetch-verified" : "fetch-mismatch", current.digest());
				scheduleStep();
			});
		});
	}

	// While the target is out for an earlier rollout its entry is kept, because the other
	// agents count targets by these entries. The new entry is announced when the target
	// serves again.
	private void announcePhase(Rule.Model rule, @Nullable Download current) {
		if (this.versionSwitch.isBusy()) {
			return;
		}
		RolloutEntry ownEntry = this.rolloutTable.ownEntry();
		RolloutKey key = this.rolloutTable.keyFor(rule.version() + "@" + rule.digest().substring(0, KEY_DIGEST_DIGITS),
				this.process.configuration().revision());
		int moveBackCount = key.version().equals(ownEntry.key().version()) ? ownEntry.moveBackCount() : 0;
		this.rolloutTable.announce(key, phase(current), moveBackCount);
	}

	private RolloutPhase phase(@Nullable Download current) {
		if (this.versionSwitch.isTargetEmpty()) {
			return RolloutPhase.OUT;
		}
		if (current != null && this.versionSwitch.isTargetRunning(current.chunks().manifest().wholeDigest())) {
			return RolloutPhase.DONE;
		}
		return (current != null && this.verifiedDownload == current) ? RolloutPhase.READY : RolloutPhase.FETCHING;
	}

	private void decideSwitch(Rule.Model rule, List<Member> group, @Nullable Download current) {
		if (this.versionSwitch.isBusy()) {
			return;
		}
		if (this.versionSwitch.isTargetEmpty()) {
			// An empty target does not serve anyway, so it is loaded at once and does not
			// delay another agent's switch.
			if (current != null && this.verifiedDownload == current) {
				this.switchStarted = false;
				this.versionSwitch.start(current.chunks());
			}
			return;
		}
		if (this.versionSwitch.status().isEmpty()) {
			return;
		}
		SwitchDecision decision = this.scheduler.decide(this.rolloutTable, reachableInstances(group),
				rule.maxReplicasOut(), this.process.nowNanos());
		RolloutEntry ownEntry = this.rolloutTable.ownEntry();
		if (decision instanceof SwitchDecision.Switch && current != null) {
			this.rolloutTable.announce(ownEntry.key(), RolloutPhase.OUT, ownEntry.moveBackCount());
			this.switchStarted = true;
			this.versionSwitch.start(current.chunks());
		}
		else if (decision instanceof SwitchDecision.Wait wait) {
			this.waitReason = wait.reason();
		}
		else if (decision instanceof SwitchDecision.MoveBack back) {
			this.process.events().record("rollout-late", "moved back " + back.moveBackCount() + " times");
			this.rolloutTable.announce(ownEntry.key(), ownEntry.phase(), back.moveBackCount());
		}
	}

	// The member list may contain a stopped agent for a long time, which would block the
	// rollout. An agent without a connection is therefore included only for
	// MAX_DISCONNECTED_NANOS. The scheduler adds its own timeout before it skips the
	// agent.
	private List<String> reachableInstances(List<Member> group) {
		long now = this.process.nowNanos();
		List<String> instances = new ArrayList<>();
		for (Member member : group) {
			String instance = member.instance();
			boolean self = instance.equals(this.process.settings().instance());
			if (self || this.process.peers().connection(instance).isPresent()) {
				this.lastConnected.put(instance, now);
			}
			long lastConnectedNanos = this.lastConnected.computeIfAbsent(instance, (absent) -> now);
			if (now - lastConnectedNanos < MAX_DISCONNECTED_NANOS) {
				instances.add(instance);
			}
		}
		this.lastConnected.keySet().retainAll(group.stream().map(Member::instance).toList());
		return instances;
	}

}
