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
 * Agents, an origin and links in small steps of time. A step is a quarter of the time in
 * which an instance's link carries one chunk. The origin carries twice as much as an
 * instance, and a link into a region as much as an instance.
 */
final class SwarmSimulation {

	static final int STEPS_PER_CHUNK = 4;

	private static final int CHUNK_BYTES = 8;

	private static final int ORIGIN = -1;

	private static final int DOMAINS = 3;

	private static final int DEAD_AFTER = 24;

	private static final long STEP = 1_000_000;

	private static final double RATE = 1.0 / STEPS_PER_CHUNK;

	private static final double DONE = 1e-9;

	final RandomGenerator random;

	final Scenario scenario;

	final FaultyNetwork<Bitmap> network;

	final List<Agent> agents = new ArrayList<>();

	final List<byte[]> contents = new ArrayList<>();

	final List<Manifest> manifests = new ArrayList<>();

	final List<Transfer> transfers = new ArrayList<>();

	final double[] inward = new double[DOMAINS];

	double originChunks;

	int step;

	SwarmSimulation(Scenario scenario, long seed) {
		this.scenario = scenario;
		this.random = Schedules.createRandom(seed);
		this.network = new FaultyNetwork<>(this.random, scenario.loss(), scenario.loss(), scenario.delay());
		byte[] content = new byte[scenario.chunks() * CHUNK_BYTES];
		this.random.nextBytes(content);
		for (int version = 0; version < scenario.versions(); version++) {
			this.contents.add(content.clone());
			this.manifests.add(Manifest.describe("s", "v" + version, content, CHUNK_BYTES));
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
			this.agents.stream().filter((agent) -> agent.alive).forEach(Agent::act);
			move();
			if (this.agents.stream().allMatch(Agent::finished)) {
				return this.step;
			}
		}
		return -1;
	}

	String describe() {
		StringBuilder text = new StringBuilder("step " + this.step);
		for (Agent agent : this.agents) {
			text.append(' ').append(agent.index).append(agent.alive ? "" : "x").append(agent.chunks.held());
		}
		return text.toString();
	}

	double originCopies() {
		return this.originChunks / this.scenario.chunks();
	}

	boolean reachable(int from, int to) {
		int fromDomain = (from == ORIGIN) ? 0 : from % DOMAINS;
		boolean cut = (fromDomain == this.scenario.cutDomain()) != (to % DOMAINS == this.scenario.cutDomain());
		boolean inTime = this.step >= this.scenario.cutFrom() && this.step < this.scenario.cutTo();
		return !(cut && inTime) && (from == ORIGIN || this.agents.get(from).alive);
	}

	private void move() {
		this.transfers.removeIf((transfer) -> !transfer.to.alive && transfer.release());
		List<Transfer> moving = new ArrayList<>(this.transfers);
		moving.removeIf((transfer) -> !transfer.moving());
		Links left = new Links(this.scenario.agents());
		// Approximates max-min fairness: what one link can't use goes to the others.
		for (int round = 0; round < 3; round++) {
			Links active = new Links(this.scenario.agents());
			active.clear();
			moving.forEach((transfer) -> active.add(transfer, 1));
			Links used = new Links(this.scenario.agents());
			used.clear();
			for (Transfer transfer : moving) {
				used.add(transfer, transfer.advance(left.share(transfer, active)));
			}
			left.subtract(used);
			moving.removeIf((transfer) -> transfer.left <= DONE);
		}
		List<Transfer> ended = new ArrayList<>(this.transfers);
		ended.removeIf((transfer) -> transfer.left > DONE && !transfer.expired());
		this.transfers.removeAll(new HashSet<>(ended));
		ended.forEach(Transfer::release);
		ended.forEach((transfer) -> transfer.to.ended(transfer));
	}

	/** Amounts per link: the origin's, up and down per agent, and into each region. */
	private static final class Links {

		private final double[] amounts;

		private final int agents;

		private Links(int agents) {
			this.agents = agents;
			this.amounts = new double[1 + 2 * agents + DOMAINS];
			Arrays.fill(this.amounts, RATE);
			this.amounts[0] = 2 * RATE;
		}

		private void clear() {
			Arrays.fill(this.amounts, 0);
		}

		private int up(Transfer transfer) {
			return transfer.from + 1;
		}

		private int down(Transfer transfer) {
			return 1 + this.agents + transfer.to.index;
		}

		private int into(Transfer transfer) {
			return 1 + 2 * this.agents + transfer.to.index % DOMAINS;
		}

		private void add(Transfer transfer, double amount) {
			this.amounts[up(transfer)] += amount;
			this.amounts[down(transfer)] += amount;
			this.amounts[into(transfer)] += transfer.crosses() ? amount : 0;
		}

		private double share(Transfer transfer, Links active) {
			double share = Math.min(part(up(transfer), active), part(down(transfer), active));
			return transfer.crosses() ? Math.min(share, part(into(transfer), active)) : share;
		}

		private double part(int link, Links active) {
			return Math.max(0, this.amounts[link]) / active.amounts[link];
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

	record Scenario(int agents, int chunks, int versions, double corrupt, double loss, int delay, int cutDomain,
			int cutFrom, int cutTo, boolean everyoneFromOrigin, Faults faults) {

		static Scenario plain(int agents, int chunks, boolean everyoneFromOrigin) {
			return new Scenario(agents, chunks, 1, 0, 0, 2, -1, 0, 0, everyoneFromOrigin, (simulation) -> {
			});
		}

	}

	final class Transfer {

		private final int from;

		private final Agent to;

		private final int index;

		private final int version;

		private double left = 1;

		private int idle;

		private boolean granted;

		private Transfer(int from, Agent to, int index) {
			this.from = from;
			this.to = to;
			this.index = index;
			this.version = to.version;
		}

		private boolean moving() {
			if (!this.granted) {
				this.granted = this.from == ORIGIN
						|| SwarmSimulation.this.agents.get(this.from).slots.tryAcquire(crosses());
			}
			return reachable(this.from, this.to.index) && (this.from == ORIGIN || holds());
		}

		private boolean holds() {
			Agent source = SwarmSimulation.this.agents.get(this.from);
			return this.granted && source.version == this.version && source.chunks.holds(this.index);
		}

		private boolean release() {
			if (this.granted && this.from != ORIGIN) {
				SwarmSimulation.this.agents.get(this.from).slots.release(crosses());
			}
			return true;
		}

		private boolean crosses() {
			return ((this.from == ORIGIN) ? 0 : this.from % DOMAINS) != this.to.index % DOMAINS;
		}

		private double advance(double share) {
			double moved = Math.min(share, this.left);
			SwarmSimulation.this.inward[this.to.index % DOMAINS] += crosses() ? moved : 0;
			SwarmSimulation.this.originChunks += (this.from == ORIGIN) ? moved : 0;
			this.left -= moved;
			return moved;
		}

		private boolean expired() {
			if (moving()) {
				return false;
			}
			return ++this.idle >= (reachable(this.from, this.to.index) ? 2 : DEAD_AFTER);
		}

	}

	final class Agent {

		final int index;

		private final Peer self;

		private final UploadSlots slots = new UploadSlots(UploadSlots.STANDARD);

		boolean alive = true;

		int version;

		ChunkSet chunks;

		private DistributionPlanner planner;

		private BitSet announced = new BitSet();

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
			return SwarmSimulation.this.step * STEP;
		}

		private DistributionPlanner planner() {
			DistributionSettings settings = new DistributionSettings(8, 6, 4, 2, 1, STEPS_PER_CHUNK * STEP / 2,
					8 * STEPS_PER_CHUNK * STEP, STEPS_PER_CHUNK * STEP, 60 * STEP, 3, 0.2, 0.5);
			DistributionPlanner created = new DistributionPlanner(SwarmSimulation.this.manifests.get(this.version),
					this.self, settings, SwarmSimulation.this.random, now());
			List<Peer> all = new ArrayList<>();
			for (int number = 0; number < SwarmSimulation.this.scenario.agents(); number++) {
				all.add(peer(number));
			}
			created.agents(all, now());
			return created;
		}

		void restart() {
			this.alive = true;
			this.chunks = new ChunkSet(SwarmSimulation.this.manifests.get(this.version));
			this.planner = planner();
			this.announced = new BitSet();
		}

		void follow(int later) {
			if (later > this.version) {
				ChunkSet before = this.chunks;
				this.version = later;
				this.chunks = new ChunkSet(SwarmSimulation.this.manifests.get(later));
				this.chunks.adoptFrom(before);
				this.planner = planner();
				this.announced = new BitSet();
			}
		}

		boolean finished() {
			return !this.alive
					|| (this.version == SwarmSimulation.this.scenario.versions() - 1 && this.chunks.complete());
		}

		byte[] whole() {
			byte[] bytes = new byte[SwarmSimulation.this.scenario.chunks() * CHUNK_BYTES];
			for (int chunk = 0; chunk < SwarmSimulation.this.scenario.chunks(); chunk++) {
				System.arraycopy(this.chunks.chunk(chunk), 0, bytes, chunk * CHUNK_BYTES, CHUNK_BYTES);
			}
			return bytes;
		}

		private void receive(Bitmap bitmap) {
			if (this.alive && bitmap.version() == this.version) {
				this.planner.held("agent-" + bitmap.sender(), bitmap.held(), now());
			}
		}

		private void act() {
			BitSet held = this.chunks.held();
			if (!held.equals(this.announced) || SwarmSimulation.this.step % 16 == 0) {
				this.announced = held;
				for (String neighbour : this.planner.neighbours()) {
					int to = Integer.parseInt(neighbour.substring("agent-".length()));
					SwarmSimulation.this.network.send(to, new Bitmap(this.index, this.version, held),
							SwarmSimulation.this.step);
				}
			}
			if (SwarmSimulation.this.scenario.everyoneFromOrigin()) {
				if (!this.pulling) {
					this.pulling = true;
					add(ORIGIN, held.nextClearBit(0));
				}
				return;
			}
			for (FetchCommand command : this.planner.plan(held, now())) {
				if (command instanceof FetchCommand.FetchFromOrigin origin) {
					add(ORIGIN, origin.index());
				}
				else if (command instanceof FetchCommand.FetchFromPeer peer) {
					add(Integer.parseInt(peer.instance().substring("agent-".length())), peer.index());
				}
			}
		}

		private void add(int from, int chunk) {
			if (chunk < SwarmSimulation.this.scenario.chunks()) {
				SwarmSimulation.this.transfers.add(new Transfer(from, this, chunk));
			}
		}

		private void ended(Transfer transfer) {
			this.pulling = false;
			if (transfer.left > DONE) {
				boolean reachable = reachable(transfer.from, this.index);
				failed(transfer, !reachable ? FetchFailure.UNREACHABLE
						: transfer.granted ? FetchFailure.NOT_HELD : FetchFailure.BUSY);
				return;
			}
			int from = transfer.index * CHUNK_BYTES;
			byte[] bytes = Arrays.copyOfRange(SwarmSimulation.this.contents.get(transfer.version), from,
					from + CHUNK_BYTES);
			if (SwarmSimulation.this.random.nextDouble() < SwarmSimulation.this.scenario.corrupt()) {
				bytes[SwarmSimulation.this.random.nextInt(CHUNK_BYTES)] ^= 1;
			}
			// A transfer for an earlier version is stored like any other: the
			// manifest decides.
			if (this.chunks.put(transfer.index, bytes) instanceof StoreResult.Corrupt) {
				failed(transfer, FetchFailure.CORRUPT);
			}
			else if (transfer.version == this.version) {
				this.planner.stored(transfer.index, now());
			}
		}

		private void failed(Transfer transfer, FetchFailure failure) {
			if (transfer.version == this.version) {
				this.planner.failed(transfer.index, failure, now());
			}
		}

	}

}
