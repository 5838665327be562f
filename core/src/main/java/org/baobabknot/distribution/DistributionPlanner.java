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
 * Decides from where an agent fetches the chunks of one version. Each chunk has one
 * fetcher at the origin in the fleet, one gateway that brings it into a failure domain,
 * and spreads rarest first inside the domain. When no chunk arrives for a while, the next
 * agent in order takes over, within a budget of chunks from the origin. Thread-safe.
 */
public final class DistributionPlanner {

	private static final String ORIGIN = "origin";

	/** Largest relative lengthening of a take-over delay. */
	private static final double JITTER = 0.5;

	/**
	 * Stalls after which a fetcher that answers without ever holding the chunk is passed
	 * over; it may be cut off from the origin.
	 */
	private static final int STALLS_BEFORE_BYPASS = 4;

	private final Manifest manifest;

	private final String digest;

	private final Peer self;

	private final DistributionSettings settings;

	private final RandomGenerator random;

	private final SourceHealth health;

	private final Map<String, BitSet> heldBy = new HashMap<>();

	private final Map<Integer, FetchCommand> inFlight = new HashMap<>();

	private final long startNanos;

	private final double rounding;

	private final double jitter;

	private ChunkOrder order;

	private OriginBudget budget;

	private long progressNanos;

	/**
	 * Creates a planner that knows no other agent.
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
		this.progressNanos = nowNanos;
		this.rounding = random.nextDouble();
		this.jitter = 1 + random.nextDouble() * JITTER;
		this.order = new ChunkOrder(this.digest, manifest.chunks(), self, List.of());
		this.budget = new OriginBudget(settings, manifest.chunks(), 1, this.rounding, nowNanos);
	}

	/**
	 * Sets the agents of the service.
	 * @param live live agents of all failure domains
	 * @param nowNanos monotonic time
	 */
	public synchronized void agents(Collection<Peer> live, long nowNanos) {
		int before = this.order.agents();
		this.order = new ChunkOrder(this.digest, this.manifest.chunks(), this.self, live);
		this.heldBy.keySet().removeIf((instance) -> !this.order.inOwnDomain(instance));
		if (before == 1) {
			this.budget = new OriginBudget(this.settings, this.manifest.chunks(), this.order.agents(), this.rounding,
					this.startNanos);
		}
	}

	/**
	 * Returns the agents to which this one sends its bitmap and from which it wants
	 * theirs.
	 * @return instances of the own failure domain
	 */
	public synchronized List<String> neighbours() {
		return this.order.neighbours(this.settings.neighbours());
	}

	/**
	 * Takes note of the chunks that another agent holds.
	 * @param instance the agent; agents of other failure domains are ignored
	 * @param bitmap its chunks
	 * @param nowNanos monotonic time
	 */
	public synchronized void held(String instance, BitSet bitmap, long nowNanos) {
		if (!this.order.inOwnDomain(instance) || instance.equals(this.self.instance())) {
			return;
		}
		BitSet known = this.heldBy.computeIfAbsent(instance, (absent) -> new BitSet());
		BitSet added = (BitSet) bitmap.clone();
		added.clear(this.manifest.chunks(), Math.max(this.manifest.chunks(), added.length()));
		added.andNot(known);
		if (!added.isEmpty()) {
			this.progressNanos = nowNanos;
			known.or(added);
		}
	}

	/**
	 * Drops what is known of an agent that was disconnected or restarted.
	 * @param instance the agent
	 */
	public synchronized void disconnected(String instance) {
		this.heldBy.remove(instance);
	}

	/**
	 * Takes note of a chunk that was fetched and verified.
	 * @param index the chunk
	 * @param nowNanos monotonic time
	 */
	public synchronized void stored(int index, long nowNanos) {
		this.inFlight.remove(index);
		this.health.forget(index);
		this.progressNanos = nowNanos;
	}

	/**
	 * Takes note of a fetch that failed.
	 * @param index the chunk
	 * @param failure why it failed
	 * @param nowNanos monotonic time
	 */
	public synchronized void failed(int index, FetchFailure failure, long nowNanos) {
		FetchCommand command = this.inFlight.remove(index);
		if (command instanceof FetchCommand.FetchFromPeer peer) {
			this.health.failed(index, peer.instance(), failure, nowNanos);
			BitSet known = this.heldBy.get(peer.instance());
			if (known != null && failure == FetchFailure.NOT_HELD) {
				known.clear(index);
			}
		}
		else if (command instanceof FetchCommand.FetchFromOrigin) {
			// The origin is not excluded for corrupt chunks, since nothing replaces it.
			if (failure == FetchFailure.UNREACHABLE) {
				this.budget.giveBack();
			}
			FetchFailure counted = (failure == FetchFailure.CORRUPT) ? FetchFailure.NOT_HELD : failure;
			this.health.failed(index, ORIGIN, counted, nowNanos);
		}
	}

	/**
	 * Chooses the fetches to start now and counts them as running.
	 * @param own chunks that this agent holds
	 * @param nowNanos monotonic time
	 * @return fetches, or one {@link FetchCommand.Wait}
	 */
	public synchronized List<FetchCommand> plan(BitSet own, long nowNanos) {
		List<FetchCommand> commands = new ArrayList<>();
		int chunks = this.manifest.chunks();
		List<Candidate> candidates = new ArrayList<>();
		int offset = this.random.nextInt(chunks);
		for (int step = 0; step < chunks; step++) {
			int index = (offset + step) % chunks;
			if (own.get(index) || this.inFlight.containsKey(index)) {
				continue;
			}
			int copies = copies(index, nowNanos);
			if (copies > 0) {
				candidates.add(new Candidate(index, copies));
			}
			else {
				acquire(index, nowNanos).ifPresent((command) -> start(index, command, commands));
			}
		}
		candidates.sort((left, right) -> Integer.compare(left.copies(), right.copies()));
		for (Candidate candidate : candidates) {
			if (running(Kind.DOMAIN) >= this.settings.peerTransfers()) {
				break;
			}
			holder(candidate.index(), nowNanos).ifPresent((instance) -> start(candidate.index(),
					new FetchCommand.FetchFromPeer(candidate.index(), instance, false), commands));
		}
		if (commands.isEmpty()) {
			commands.add(new FetchCommand.Wait((own.cardinality() == chunks) ? "complete"
					: "%d of %d chunks held, %d under way".formatted(own.cardinality(), chunks, this.inFlight.size())));
		}
		return commands;
	}

	private void start(int index, FetchCommand command, List<FetchCommand> commands) {
		if (command instanceof FetchCommand.FetchFromOrigin) {
			boolean first = this.order.fleetRank(index) == 0 && !this.health.hasFailed(index, ORIGIN);
			if (!first) {
				this.budget.use();
			}
		}
		this.inFlight.put(index, command);
		commands.add(command);
	}

	private int copies(int index, long nowNanos) {
		int copies = 0;
		for (Map.Entry<String, BitSet> entry : this.heldBy.entrySet()) {
			copies += (entry.getValue().get(index) && !this.health.avoided(entry.getKey(), nowNanos)) ? 1 : 0;
		}
		return copies;
	}

	private Optional<String> holder(int index, long nowNanos) {
		@Nullable String best = null;
		double bestLoad = Double.MAX_VALUE;
		for (Map.Entry<String, BitSet> entry : this.heldBy.entrySet()) {
			String instance = entry.getKey();
			if (!entry.getValue().get(index) || this.health.avoided(instance, nowNanos)
					|| this.health.backsOff(index, instance, nowNanos)) {
				continue;
			}
			int running = runningFrom(instance);
			double load = running + this.random.nextDouble();
			if (running < this.settings.perSourceTransfers() && load < bestLoad) {
				best = instance;
				bestLoad = load;
			}
		}
		return Optional.ofNullable(best);
	}

	// Decides on a chunk that no known agent of the own domain holds.
	private Optional<FetchCommand> acquire(int index, long nowNanos) {
		if (this.order.fleetRank(index) == 0) {
			boolean due = nowNanos - this.startNanos >= index * this.settings.originPaceNanos();
			Optional<FetchCommand> first = due ? fromOrigin(index, nowNanos) : Optional.empty();
			// Others may hold the chunk when the origin fails this agent.
			return (first.isPresent() || !this.health.hasFailed(index, ORIGIN)) ? first : inward(index, nowNanos);
		}
		// A due take-over comes first: asking agents that lack the chunk as well would
		// put it off for ever.
		Optional<FetchCommand> takeOver = takeOver(index, nowNanos);
		return takeOver.isPresent() ? takeOver : inward(index, nowNanos);
	}

	private Optional<FetchCommand> fromOrigin(int index, long nowNanos) {
		boolean first = this.order.fleetRank(index) == 0 && !this.health.hasFailed(index, ORIGIN);
		if (running(Kind.ORIGIN) >= this.settings.originTransfers() || this.health.avoided(ORIGIN, nowNanos)
				|| this.health.backsOff(index, ORIGIN, nowNanos) || !(first || this.budget.allows(nowNanos))) {
			return Optional.empty();
		}
		return Optional.of(new FetchCommand.FetchFromOrigin(index));
	}

	private Optional<FetchCommand> inward(int index, long nowNanos) {
		int position = this.order.gatewayPosition(index);
		if (running(Kind.INWARD) >= this.settings.inwardTransfers() || !stalled(position, nowNanos)) {
			return Optional.empty();
		}
		List<Peer> sources = new ArrayList<>();
		this.order.regionalSource(index).ifPresent(sources::add);
		sources.addAll(this.order.fetchers(index));
		for (Peer source : sources) {
			String instance = source.instance();
			if (instance.equals(this.self.instance()) || this.health.avoided(instance, nowNanos)
					|| runningFrom(instance) >= this.settings.perSourceTransfers()) {
				continue;
			}
			if (!this.health.backsOff(index, instance, nowNanos)) {
				return Optional.of(ask(index, source));
			}
			if (!stalled(2, nowNanos)) {
				break;
			}
		}
		return Optional.empty();
	}

	private FetchCommand ask(int index, Peer source) {
		return new FetchCommand.FetchFromPeer(index, source.instance(), !source.domain().equals(this.self.domain()));
	}

	// Fetches from the origin in place of the first fetcher, once that one has failed to
	// deliver the chunk to this agent.
	private Optional<FetchCommand> takeOver(int index, long nowNanos) {
		int turn = Math.min(this.order.fleetRank(index), 2 + this.order.domainRank(index));
		if (!stalled(turn, nowNanos)) {
			return Optional.empty();
		}
		Peer first = this.order.fetchers(index).get(0);
		boolean gone = this.health.avoided(first.instance(), nowNanos);
		if (!gone && !this.health.hasFailed(index, first.instance())) {
			boolean room = running(Kind.INWARD) < this.settings.inwardTransfers();
			return room ? Optional.of(ask(index, first)) : Optional.empty();
		}
		return (gone || stalled(turn + STALLS_BEFORE_BYPASS, nowNanos)) ? fromOrigin(index, nowNanos)
				: Optional.empty();
	}

	private boolean stalled(int turns, long nowNanos) {
		return nowNanos - this.progressNanos >= (long) (turns * this.jitter * this.settings.stallNanos());
	}

	private int runningFrom(String instance) {
		int running = 0;
		for (FetchCommand command : this.inFlight.values()) {
			running += (command instanceof FetchCommand.FetchFromPeer peer && peer.instance().equals(instance)) ? 1 : 0;
		}
		return running;
	}

	private int running(Kind kind) {
		int running = 0;
		for (FetchCommand command : this.inFlight.values()) {
			running += (Kind.of(command) == kind) ? 1 : 0;
		}
		return running;
	}

	private enum Kind {

		ORIGIN, INWARD, DOMAIN;

		static Kind of(FetchCommand command) {
			if (command instanceof FetchCommand.FetchFromPeer peer) {
				return peer.inward() ? INWARD : DOMAIN;
			}
			return ORIGIN;
		}

	}

	private record Candidate(int index, int copies) {
	}

}
