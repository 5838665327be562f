package org.baobabknot.distribution;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.baobabknot.weights.Manifest;
import org.jspecify.annotations.Nullable;

/**
 * Decides from which source an agent fetches the chunks of one version. Each chunk has
 * one origin fetcher in the fleet and one domain fetcher in each failure domain, and
 * spreads rarest first inside the domain. When no chunk arrives within the stall timeout,
 * the next agent in order takes over, within a budget of chunks from the origin.
 * Thread-safe.
 */
public final class DistributionPlanner {

	private static final String ORIGIN = "origin";

	/** Largest relative extension of a takeover delay. */
	private static final double MAX_JITTER_RATIO = 0.5;

	/**
	 * Stall timeouts after which an origin fetcher that responds but never holds the
	 * chunk is bypassed; it may be cut off from the origin.
	 */
	private static final int STALLS_BEFORE_BYPASS = 4;

	private final Manifest manifest;

	private final String digest;

	private final Peer self;

	private final DistributionSettings settings;

	private final RandomGenerator random;

	private final SourceHealth health;

	private final Map<String, BitSet> chunksByAgent = new HashMap<>();

	private final Map<Integer, FetchCommand> inFlight = new HashMap<>();

	private final long startNanos;

	private final double rounding;

	private final double jitterFactor;

	private ChunkAssignment assignment;

	private OriginBudget budget;

	private long lastProgressNanos;

	/**
	 * Creates a planner without other agents.
	 * @param manifest the version
	 * @param self this agent
	 * @param settings limits
	 * @param random source of randomness for ties and delays
	 * @param nowNanos monotonic time
	 */
	public DistributionPlanner(Manifest manifest, Peer self, DistributionSettings settings, RandomGenerator random,
			long nowNanos) {
		this.manifest = manifest;
		this.digest = manifest.digest();
		this.self = self;
		this.settings = settings;
		this.random = random;
		this.health = new SourceHealth(settings);
		this.startNanos = nowNanos;
		this.lastProgressNanos = nowNanos;
		this.rounding = random.nextDouble();
		this.jitterFactor = 1 + random.nextDouble() * MAX_JITTER_RATIO;
		this.assignment = new ChunkAssignment(this.digest, manifest.chunkCount(), self, List.of());
		this.budget = new OriginBudget(settings, manifest.chunkCount(), 1, this.rounding, nowNanos);
	}

	/**
	 * Sets the agents of the service, among which chunks are assigned.
	 * @param live live agents of all failure domains
	 * @param nowNanos monotonic time
	 */
	public synchronized void updateAgents(Collection<Peer> live, long nowNanos) {
		int previousCount = this.assignment.agents();
		this.assignment = new ChunkAssignment(this.digest, this.manifest.chunkCount(), this.self, live);
		this.chunksByAgent.keySet().removeIf((instance) -> !this.assignment.inOwnDomain(instance));
		if (previousCount == 1) {
			this.budget = new OriginBudget(this.settings, this.manifest.chunkCount(), this.assignment.agents(),
					this.rounding, this.startNanos);
		}
	}

	/**
	 * Returns the agents with which this one exchanges bitmaps of held chunks.
	 * @return instances of this agent's failure domain
	 */
	public synchronized List<String> neighbours() {
		return this.assignment.neighbours(this.settings.maxNeighbours());
	}

	/**
	 * Records the chunks that another agent holds.
	 * @param instance the agent; agents of other failure domains are ignored
	 * @param bitmap its chunks
	 * @param nowNanos monotonic time
	 */
	public synchronized void recordHeldChunks(String instance, BitSet bitmap, long nowNanos) {
		if (!this.assignment.inOwnDomain(instance) || instance.equals(this.self.instance())) {
			return;
		}
		BitSet knownChunks = this.chunksByAgent.computeIfAbsent(instance, (absent) -> new BitSet());
		BitSet added = (BitSet) bitmap.clone();
		added.clear(this.manifest.chunkCount(), Math.max(this.manifest.chunkCount(), added.length()));
		added.andNot(knownChunks);
		if (!added.isEmpty()) {
			this.lastProgressNanos = nowNanos;
			knownChunks.or(added);
		}
	}

	/**
	 * Removes the recorded chunks of an agent that was disconnected or restarted.
	 * @param instance the agent
	 */
	public synchronized void removeAgent(String instance) {
		this.chunksByAgent.remove(instance);
	}

	/**
	 * Records a chunk that was fetched and verified.
	 * @param index the chunk
	 * @param nowNanos monotonic time
	 */
	public synchronized void recordStored(int index, long nowNanos) {
		this.inFlight.remove(index);
		this.health.clearFailures(index);
		this.lastProgressNanos = nowNanos;
	}

	/**
	 * Records a fetch that failed.
	 * @param index the chunk
	 * @param failure why it failed
	 * @param nowNanos monotonic time
	 */
	public synchronized void recordFailure(int index, FetchFailure failure, long nowNanos) {
		FetchCommand command = this.inFlight.remove(index);
		if (command instanceof FetchCommand.FetchFromPeer peer) {
			this.health.recordFailure(index, peer.instance(), failure, nowNanos);
			BitSet knownChunks = this.chunksByAgent.get(peer.instance());
			if (knownChunks != null && failure == FetchFailure.NOT_HELD) {
				knownChunks.clear(index);
			}
		}
		else if (command instanceof FetchCommand.FetchFromOrigin) {
			// The origin is not excluded for corrupt chunks, since nothing replaces it.
			if (failure == FetchFailure.UNREACHABLE) {
				this.budget.refund();
			}
			FetchFailure recordedFailure = (failure == FetchFailure.CORRUPT) ? FetchFailure.NOT_HELD : failure;
			this.health.recordFailure(index, ORIGIN, recordedFailure, nowNanos);
		}
	}

	/**
	 * Selects the fetches to start now and records them as in flight.
	 * @param heldChunks chunks that this agent holds
	 * @param nowNanos monotonic time
	 * @return fetches, or one {@link FetchCommand.Wait}
	 */
	public synchronized List<FetchCommand> plan(BitSet heldChunks, long nowNanos) {
		List<FetchCommand> commands = new ArrayList<>();
		int chunks = this.manifest.chunkCount();
		List<Candidate> candidates = new ArrayList<>();
		int offset = this.random.nextInt(chunks);
		for (int step = 0; step < chunks; step++) {
			int index = (offset + step) % chunks;
			if (heldChunks.get(index) || this.inFlight.containsKey(index)) {
				continue;
			}
			int copies = countCopies(index, nowNanos);
			if (copies > 0) {
				candidates.add(new Candidate(index, copies));
			}
			else {
				planUnheldChunk(index, nowNanos).ifPresent((command) -> addCommand(index, command, commands));
			}
		}
		candidates.sort((left, right) -> Integer.compare(left.copies(), right.copies()));
		for (Candidate candidate : candidates) {
			if (inFlightOfKind(FetchKind.DOMAIN) >= this.settings.maxOwnDomainTransfers()) {
				break;
			}
			selectHolder(candidate.index(), nowNanos).ifPresent((instance) -> addCommand(candidate.index(),
					new FetchCommand.FetchFromPeer(candidate.index(), instance, false), commands));
		}
		if (commands.isEmpty()) {
			commands.add(new FetchCommand.Wait(
					(heldChunks.cardinality() == chunks) ? "complete" : "%d of %d chunks held, %d in flight"
						.formatted(heldChunks.cardinality(), chunks, this.inFlight.size())));
		}
		return commands;
	}

	private void addCommand(int index, FetchCommand command, List<FetchCommand> commands) {
		if (command instanceof FetchCommand.FetchFromOrigin) {
			boolean assignedToSelf = this.assignment.originRankInFleet(index) == 0
					&& !this.health.hasFailed(index, ORIGIN);
			if (!assignedToSelf) {
				this.budget.consume();
			}
		}
		this.inFlight.put(index, command);
		commands.add(command);
	}

	private int countCopies(int index, long nowNanos) {
		int copies = 0;
		for (Map.Entry<String, BitSet> entry : this.chunksByAgent.entrySet()) {
			copies += (entry.getValue().get(index) && !this.health.isAvoided(entry.getKey(), nowNanos)) ? 1 : 0;
		}
		return copies;
	}

	private Optional<String> selectHolder(int index, long nowNanos) {
		@Nullable String selected = null;
		double selectedLoad = Double.MAX_VALUE;
		for (Map.Entry<String, BitSet> entry : this.chunksByAgent.entrySet()) {
			String instance = entry.getKey();
			if (!entry.getValue().get(index) || this.health.isAvoided(instance, nowNanos)
					|| this.health.isBackingOff(index, instance, nowNanos)) {
				continue;
			}
			int inFlightCount = inFlightFrom(instance);
			double load = inFlightCount + this.random.nextDouble();
			if (inFlightCount < this.settings.maxTransfersPerSource() && load < selectedLoad) {
				selected = instance;
				selectedLoad = load;
			}
		}
		return Optional.ofNullable(selected);
	}

	// Plans the fetch of a chunk that no known agent of this agent's failure domain
	// holds.
	private Optional<FetchCommand> planUnheldChunk(int index, long nowNanos) {
		if (this.assignment.originRankInFleet(index) == 0) {
			boolean due = nowNanos - this.startNanos >= index * this.settings.originIntervalNanos();
			Optional<FetchCommand> originFetch = due ? planOriginFetch(index, nowNanos) : Optional.empty();
			// Other agents may hold the chunk when this agent could not fetch it from the
			// origin.
			return (originFetch.isPresent() || !this.health.hasFailed(index, ORIGIN)) ? originFetch
					: planInwardFetch(index, nowNanos);
		}
		// A due takeover comes first: requests to agents that lack the chunk as well
		// would postpone it indefinitely.
		Optional<FetchCommand> takeover = planTakeover(index, nowNanos);
		return takeover.isPresent() ? takeover : planInwardFetch(index, nowNanos);
	}

	private Optional<FetchCommand> planOriginFetch(int index, long nowNanos) {
		boolean assignedToSelf = this.assignment.originRankInFleet(index) == 0 && !this.health.hasFailed(index, ORIGIN);
		if (inFlightOfKind(FetchKind.ORIGIN) >= this.settings.maxOriginTransfers()
				|| this.health.isAvoided(ORIGIN, nowNanos) || this.health.isBackingOff(index, ORIGIN, nowNanos)
				|| !(assignedToSelf || this.budget.allows(nowNanos))) {
			return Optional.empty();
		}
		return Optional.of(new FetchCommand.FetchFromOrigin(index));
	}

	private Optional<FetchCommand> planInwardFetch(int index, long nowNanos) {
		int position = this.assignment.domainFetcherRank(index);
		if (inFlightOfKind(FetchKind.INWARD) >= this.settings.maxOtherDomainTransfers()
				|| !stalled(position, nowNanos)) {
			return Optional.empty();
		}
		List<Peer> sources = new ArrayList<>();
		this.assignment.regionalSource(index).ifPresent(sources::add);
		sources.addAll(this.assignment.originFetchers(index));
		for (Peer source : sources) {
			String instance = source.instance();
			if (instance.equals(this.self.instance()) || this.health.isAvoided(instance, nowNanos)
					|| inFlightFrom(instance) >= this.settings.maxTransfersPerSource()) {
				continue;
			}
			if (!this.health.isBackingOff(index, instance, nowNanos)) {
				return Optional.of(fetchFrom(index, source));
			}
			if (!stalled(2, nowNanos)) {
				break;
			}
		}
		return Optional.empty();
	}

	private FetchCommand fetchFrom(int index, Peer source) {
		return new FetchCommand.FetchFromPeer(index, source.instance(), !source.domain().equals(this.self.domain()));
	}

	// Plans a fetch from the origin in place of the first origin fetcher, once a request
	// to that agent for the chunk has failed.
	private Optional<FetchCommand> planTakeover(int index, long nowNanos) {
		int stallCount = Math.min(this.assignment.originRankInFleet(index),
				2 + this.assignment.originRankInDomain(index));
		if (!stalled(stallCount, nowNanos)) {
			return Optional.empty();
		}
		Peer originFetcher = this.assignment.originFetchers(index).get(0);
		boolean unreachable = this.health.isAvoided(originFetcher.instance(), nowNanos);
		if (!unreachable && !this.health.hasFailed(index, originFetcher.instance())) {
			boolean hasCapacity = inFlightOfKind(FetchKind.INWARD) < this.settings.maxOtherDomainTransfers();
			return hasCapacity ? Optional.of(fetchFrom(index, originFetcher)) : Optional.empty();
		}
		return (unreachable || stalled(stallCount + STALLS_BEFORE_BYPASS, nowNanos)) ? planOriginFetch(index, nowNanos)
				: Optional.empty();
	}

	private boolean stalled(int stallCount, long nowNanos) {
		return nowNanos
				- this.lastProgressNanos >= (long) (stallCount * this.jitterFactor * this.settings.stallTimeoutNanos());
	}

	private int inFlightFrom(String instance) {
		int count = 0;
		for (FetchCommand command : this.inFlight.values()) {
			count += (command instanceof FetchCommand.FetchFromPeer peer && peer.instance().equals(instance)) ? 1 : 0;
		}
		return count;
	}

	private int inFlightOfKind(FetchKind kind) {
		int count = 0;
		for (FetchCommand command : this.inFlight.values()) {
			count += (FetchKind.of(command) == kind) ? 1 : 0;
		}
		return count;
	}

	private enum FetchKind {

		ORIGIN, INWARD, DOMAIN;

		static FetchKind of(FetchCommand command) {
			if (command instanceof FetchCommand.FetchFromPeer peer) {
				return peer.fromOtherDomain() ? INWARD : DOMAIN;
			}
			return ORIGIN;
		}

	}

	private record Candidate(int index, int copies) {
	}

}
