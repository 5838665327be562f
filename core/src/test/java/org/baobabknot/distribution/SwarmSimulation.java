package org.baobabknot.distribution;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.random.RandomGenerator;

import org.baobabknot.simulation.FaultyNetwork;
import org.baobabknot.simulation.Schedules;
import org.baobabknot.weights.ChunkSet;
import org.baobabknot.weights.Manifest;
import org.baobabknot.weights.StoreResult;

/**
 * Simulates agents, an origin and links in discrete time steps. A step is a quarter of
 * the time in which an instance's link carries one chunk. The origin's link has twice the
 * rate of an instance's link, and a link into a region the same rate as an instance's
 * link.
 */
final class SwarmSimulation {

	static final int STEPS_PER_CHUNK = 4;

	private static final int CHUNK_BYTES = 8;

	private static final int ORIGIN = -1;

	private static final int DOMAINS = 3;

	private static final int UNREACHABLE_TIMEOUT_STEPS = 24;

	private static final long STEP_NANOS = 1_000_000;

	private static final double LINK_CHUNKS_PER_STEP = 1.0 / STEPS_PER_CHUNK;

	private static final double COMPLETION_TOLERANCE = 1e-9;

	final RandomGenerator random;

	final Scenario scenario;

	final FaultyNetwork<Bitmap> network;

	final List<Agent> agents = new ArrayList<>();

	final List<byte[]> contents = new ArrayList<>();

	final List<Manifest> manifests = new ArrayList<>();

	final List<Transfer> transfers = new ArrayList<>();

	final double[] chunksIntoDomain = new double[DOMAINS];

	double chunksFromOrigin;

	int step;

	SwarmSimulation(Scenario scenario, long seed) {
		this.scenario = scenario;
		this.random = Schedules.createRandom(seed);
		this.network = new FaultyNetwork<>(this.random, scenario.lossRatio(), scenario.lossRatio(),
				scenario.maxDelaySteps());
		byte[] content = new byte[scenario.chunks() * CHUNK_BYTES];
		this.random.nextBytes(content);
		for (int version = 0; version < scenario.versions(); version++) {
			this.contents.add(content.clone());
			this.manifests.add(Manifest.of("s", "v" + version, content, CHUNK_BYTES));
			for (int index = 0; index < scenario.chunks(); index += 2) {
				content[index * CHUNK_BYTES]++;
			}
		}
		for (int index = 0; index < scenario.agents(); index++) {
			this.agents.add(new Agent(index));
		}
	}

	/**
	 * Runs until every live agent holds the last version.
	 * @return steps taken, or -1 when not all finished
	 */
	int run(int limit) {
		while (this.step < limit) {
			this.step++;
			for (FaultyNetwork.Delivery<Bitmap> delivery : this.network.removeArrived(this.step)) {
				this.agents.get(delivery.receiver()).receive(delivery.message());
			}
			this.scenario.faults().apply(this);
			this.agents.stream().filter((agent) -> agent.alive).forEach(Agent::advance);
			advanceTransfers();
			if (this.agents.stream().allMatch(Agent::finished)) {
				return this.step;
			}
		}
		return -1;
	}

	String describe() {
		StringBuilder text = new StringBuilder("step " + this.step);
		for (Agent agent : this.agents) {
			text.append(' ').append(agent.index).append(agent.alive ? "" : "x").append(agent.chunks.heldChunks());
		}
		return text.toString();
	}

	double originCopies() {
		return this.chunksFromOrigin / this.scenario.chunks();
	}

	boolean reachable(int from, int to) {
		int fromDomain = (from == ORIGIN) ? 0 : from % DOMAINS;
		boolean separated = (fromDomain == this.scenario.partitionedDomain()) != (to % DOMAINS == this.scenario
			.partitionedDomain());
		boolean duringPartition = this.step >= this.scenario.partitionStart()
				&& this.step < this.scenario.partitionEnd();
		return !(separated && duringPartition) && (from == ORIGIN || this.agents.get(from).alive);
	}

	private void advanceTransfers() {
		this.transfers.removeIf((transfer) -> !transfer.to.alive && transfer.releaseSlot());
		List<Transfer> active = new ArrayList<>(this.transfers);
		active.removeIf((transfer) -> !transfer.canMove());
		Links available = new Links(this.scenario.agents());
		// Approximates max-min fairness: the rate that one transfer can't use goes to the
		// others.
		for (int round = 0; round < 3; round++) {
			Links demand = new Links(this.scenario.agents());
			demand.clear();
			active.forEach((transfer) -> demand.add(transfer, 1));
			Links used = new Links(this.scenario.agents());
			used.clear();
			for (Transfer transfer : active) {
				used.add(transfer, transfer.advance(available.share(transfer, demand)));
			}
			available.subtract(used);
			active.removeIf((transfer) -> transfer.remaining <= COMPLETION_TOLERANCE);
		}
		List<Transfer> ended = new ArrayList<>(this.transfers);
		ended.removeIf((transfer) -> transfer.remaining > COMPLETION_TOLERANCE && !transfer.expired());
		this.transfers.removeAll(new HashSet<>(ended));
		ended.forEach(Transfer::releaseSlot);
		ended.forEach((transfer) -> transfer.to.endTransfer(transfer));
	}

	/**
	 * Chunks per step for each link: the origin's link, an uplink and a downlink per
	 * agent, and a link into each region.
	 */
	private static final class Links {

		private final double[] amounts;

		private final int agents;

		private Links(int agents) {
			this.agents = agents;
			this.amounts = new double[1 + 2 * agents + DOMAINS];
			Arrays.fill(this.amounts, LINK_CHUNKS_PER_STEP);
			this.amounts[0] = 2 * LINK_CHUNKS_PER_STEP;
		}

		private void clear() {
			Arrays.fill(this.amounts, 0);
		}

		private int uplink(Transfer transfer) {
			return transfer.from + 1;
		}

		private int downlink(Transfer transfer) {
			return 1 + this.agents + transfer.to.index;
		}

		private int regionLink(Transfer transfer) {
			return 1 + 2 * this.agents + transfer.to.index % DOMAINS;
		}

		private void add(Transfer transfer, double amount) {
			this.amounts[uplink(transfer)] += amount;
			this.amounts[downlink(transfer)] += amount;
			this.amounts[regionLink(transfer)] += transfer.crossesDomains() ? amount : 0;
		}

		private double share(Transfer transfer, Links demand) {
			double share = Math.min(linkShare(uplink(transfer), demand), linkShare(downlink(transfer), demand));
			return transfer.crossesDomains() ? Math.min(share, linkShare(regionLink(transfer), demand)) : share;
		}

		private double linkShare(int link, Links demand) {
			return Math.max(0, this.amounts[link]) / demand.amounts[link];
		}

		private void subtract(Links used) {
			for (int link = 0; link < this.amounts.length; link++) {
				this.amounts[link] -= used.amounts[link];
			}
		}

	}

	record Bitmap(int sender, int version, BitSet held) {
	}

	/** Changes the simulation before each step. */
	interface Faults {

		void apply(SwarmSimulation simulation);

	}

	record Scenario(int agents, int chunks, int versions, double corruptRatio, double lossRatio, int maxDelaySteps,
			int partitionedDomain, int partitionStart, int partitionEnd, boolean onlyFromOrigin, Faults faults) {

		static Scenario withoutFaults(int agents, int chunks, boolean onlyFromOrigin) {
			return new Scenario(agents, chunks, 1, 0, 0, 2, -1, 0, 0, onlyFromOrigin, (simulation) -> {
			});
		}

	}

	final class Transfer {

		private final int from;

		private final Agent to;

		private final int index;

		private final int version;

		private double remaining = 1;

		private int idleSteps;

		private boolean slotGranted;

		private Transfer(int from, Agent to, int index) {
			this.from = from;
			this.to = to;
			this.index = index;
			this.version = to.version;
		}

		private boolean canMove() {
			if (!this.slotGranted) {
				this.slotGranted = this.from == ORIGIN
						|| SwarmSimulation.this.agents.get(this.from).slots.tryAcquire(crossesDomains());
			}
			return reachable(this.from, this.to.index) && (this.from == ORIGIN || sourceHoldsChunk());
		}

		private boolean sourceHoldsChunk() {
			Agent source = SwarmSimulation.this.agents.get(this.from);
			return this.slotGranted && source.version == this.version && source.chunks.holds(this.index);
		}

		private boolean releaseSlot() {
			if (this.slotGranted && this.from != ORIGIN) {
				SwarmSimulation.this.agents.get(this.from).slots.release(crossesDomains());
			}
			return true;
		}

		private boolean crossesDomains() {
			return ((this.from == ORIGIN) ? 0 : this.from % DOMAINS) != this.to.index % DOMAINS;
		}

		private double advance(double share) {
			double moved = Math.min(share, this.remaining);
			SwarmSimulation.this.chunksIntoDomain[this.to.index % DOMAINS] += crossesDomains() ? moved : 0;
			SwarmSimulation.this.chunksFromOrigin += (this.from == ORIGIN) ? moved : 0;
			this.remaining -= moved;
			return moved;
		}

		private boolean expired() {
			if (canMove()) {
				return false;
			}
			return ++this.idleSteps >= (reachable(this.from, this.to.index) ? 2 : UNREACHABLE_TIMEOUT_STEPS);
		}

	}

	final class Agent {

		final int index;

		private final Peer self;

		private final UploadSlots slots = new UploadSlots(UploadSlots.DEFAULT_SLOTS);

		boolean alive = true;

		int version;

		ChunkSet chunks;

		private DistributionPlanner planner;

		private BitSet announcedChunks = new BitSet();

		private boolean pulling;

		private Agent(int index) {
			this.index = index;
			this.self = peer(index);
			this.chunks = new ChunkSet(SwarmSimulation.this.manifests.get(0));
			this.planner = planner();
		}

		private Peer peer(int number) {
			return new Peer("agent-" + number, "d" + number % DOMAINS, "r" + number % DOMAINS);
		}

		private long now() {
			return SwarmSimulation.this.step * STEP_NANOS;
		}

		private DistributionPlanner planner() {
			DistributionSettings settings = new DistributionSettings(8, 6, 4, 2, 1, STEPS_PER_CHUNK * STEP_NANOS / 2,
					8 * STEPS_PER_CHUNK * STEP_NANOS, STEPS_PER_CHUNK * STEP_NANOS, 60 * STEP_NANOS, 3, 0.2, 0.5);
			DistributionPlanner newPlanner = new DistributionPlanner(SwarmSimulation.this.manifests.get(this.version),
					this.self, settings, SwarmSimulation.this.random, now());
			List<Peer> all = new ArrayList<>();
			for (int number = 0; number < SwarmSimulation.this.scenario.agents(); number++) {
				all.add(peer(number));
			}
			newPlanner.updateAgents(all, now());
			return newPlanner;
		}

		void restart() {
			this.alive = true;
			this.chunks = new ChunkSet(SwarmSimulation.this.manifests.get(this.version));
			this.planner = planner();
			this.announcedChunks = new BitSet();
		}

		void switchTo(int newVersion) {
			if (newVersion > this.version) {
				ChunkSet previousChunks = this.chunks;
				this.version = newVersion;
				this.chunks = new ChunkSet(SwarmSimulation.this.manifests.get(newVersion));
				this.chunks.copyMatchingChunks(previousChunks);
				this.planner = planner();
				this.announcedChunks = new BitSet();
			}
		}

		boolean finished() {
			return !this.alive
					|| (this.version == SwarmSimulation.this.scenario.versions() - 1 && this.chunks.complete());
		}

		byte[] assembledContent() {
			byte[] bytes = new byte[SwarmSimulation.this.scenario.chunks() * CHUNK_BYTES];
			for (int chunk = 0; chunk < SwarmSimulation.this.scenario.chunks(); chunk++) {
				System.arraycopy(this.chunks.chunk(chunk), 0, bytes, chunk * CHUNK_BYTES, CHUNK_BYTES);
			}
			return bytes;
		}

		private void receive(Bitmap bitmap) {
			if (this.alive && bitmap.version() == this.version) {
				this.planner.recordHeldChunks("agent-" + bitmap.sender(), bitmap.held(), now());
			}
		}

		private void advance() {
			BitSet held = this.chunks.heldChunks();
			if (!held.equals(this.announcedChunks) || SwarmSimulation.this.step % 16 == 0) {
				this.announcedChunks = held;
				for (String neighbour : this.planner.neighbours()) {
					int to = Integer.parseInt(neighbour.substring("agent-".length()));
					SwarmSimulation.this.network.send(to, new Bitmap(this.index, this.version, held),
							SwarmSimulation.this.step);
				}
			}
			if (SwarmSimulation.this.scenario.onlyFromOrigin()) {
				if (!this.pulling) {
					this.pulling = true;
					addTransfer(ORIGIN, held.nextClearBit(0));
				}
				return;
			}
			for (FetchCommand command : this.planner.plan(held, now())) {
				if (command instanceof FetchCommand.FetchFromOrigin origin) {
					addTransfer(ORIGIN, origin.index());
				}
				else if (command instanceof FetchCommand.FetchFromPeer peer) {
					addTransfer(Integer.parseInt(peer.instance().substring("agent-".length())), peer.index());
				}
			}
		}

		private void addTransfer(int from, int chunk) {
			if (chunk < SwarmSimulation.this.scenario.chunks()) {
				SwarmSimulation.this.transfers.add(new Transfer(from, this, chunk));
			}
		}

		private void endTransfer(Transfer transfer) {
			this.pulling = false;
			if (transfer.remaining > COMPLETION_TOLERANCE) {
				boolean reachable = reachable(transfer.from, this.index);
				recordFailure(transfer, !reachable ? FetchFailure.UNREACHABLE
						: transfer.slotGranted ? FetchFailure.NOT_HELD : FetchFailure.BUSY);
				return;
			}
			int from = transfer.index * CHUNK_BYTES;
			byte[] bytes = Arrays.copyOfRange(SwarmSimulation.this.contents.get(transfer.version), from,
					from + CHUNK_BYTES);
			if (SwarmSimulation.this.random.nextDouble() < SwarmSimulation.this.scenario.corruptRatio()) {
				bytes[SwarmSimulation.this.random.nextInt(CHUNK_BYTES)] ^= 1;
			}
			// A chunk of an earlier version is accepted if it matches the digest in the
			// current manifest.
			if (this.chunks.put(transfer.index, bytes) instanceof StoreResult.Corrupt) {
				recordFailure(transfer, FetchFailure.CORRUPT);
			}
			else if (transfer.version == this.version) {
				this.planner.recordStored(transfer.index, now());
			}
		}

		private void recordFailure(Transfer transfer, FetchFailure failure) {
			if (transfer.version == this.version) {
				this.planner.recordFailure(transfer.index, failure, now());
			}
		}

	}

}
