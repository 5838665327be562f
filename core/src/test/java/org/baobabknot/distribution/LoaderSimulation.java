package org.baobabknot.distribution;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.baobabknot.link.BulkWindow;

/**
 * Members that fetch one version over links with a rate and a queue, on simulated time.
 * The origin and each member send one chunk after the other; each member also receives
 * one after the other.
 */
final class LoaderSimulation {

	static final long MS = TimeUnit.MILLISECONDS.toNanos(1);

	static final int CHUNKS = 96;

	static final int CHUNK_BYTES = 24_576;

	private static final double ORIGIN_BYTES_PER_SECOND = 7.3e6 / 8;

	private static final double LINK_BYTES_PER_SECOND = 5.11e6 / 8;

	private static final double UPLOAD_SHARE = 0.9;

	private static final long LATENCY_NANOS = 2 * MS;

	private static final long TICK_NANOS = 50 * MS;

	private static final long WAIT_NANOS = 1_200 * MS;

	/** Longest time for an answer, as the loaders have it. */
	private static final long TIMEOUT_NANOS = 2_200 * MS;

	private static final long CONNECT_NANOS = 500 * MS;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final List<Member> members = new ArrayList<>();

	private final List<Peer> peers = new ArrayList<>();

	private final List<Peer> holders = new ArrayList<>();

	private final Set<String> dead = new HashSet<>();

	private final Set<String> cutDomains = new HashSet<>();

	private int narrowMember = -1;

	private double narrowTimes = 1;

	private double worstQueueMs;

	private long originDownFrom = Long.MAX_VALUE;

	private long originDownUntil = Long.MAX_VALUE;

	private long originFreeNanos;

	private int sentByOrigin;

	private long now;

	private long order;

	LoaderSimulation(int members, int domains) {
		for (int index = 0; index < members; index++) {
			String domain = "d" + index % domains;
			Peer peer = new Peer("10." + index % domains + ".0." + (100 + index), domain, domain);
			this.peers.add(peer);
		}
		this.peers.forEach((peer) -> this.members.add(new Member(peer)));
	}

	LoaderSimulation originDown(long fromMs, long untilMs) {
		this.originDownFrom = fromMs * MS;
		this.originDownUntil = untilMs * MS;
		return this;
	}

	LoaderSimulation dead(int... indices) {
		for (int index : indices) {
			this.dead.add(this.peers.get(index).instance());
		}
		return this;
	}

	LoaderSimulation narrow(int index, double times) {
		this.narrowMember = index;
		this.narrowTimes = times;
		return this;
	}

	/**
	 * Returns the longest time that a byte waited for a link.
	 * @return time in ms
	 */
	double worstQueueMs() {
		return this.worstQueueMs;
	}

	LoaderSimulation holders(int count) {
		for (Member member : this.members.subList(0, count)) {
			for (int index = 0; index < CHUNKS; index++) {
				member.holds.add(index);
				member.fetch.held(index);
			}
			member.doneNanos = 1;
			this.holders.add(member.self);
		}
		return this;
	}

	LoaderSimulation cut(String domain) {
		this.cutDomains.add(domain);
		return this;
	}

	/**
	 * Runs until all live members that reach the origin hold the version.
	 * @param limitMs time after which the run ends all the same
	 * @return copies that the origin sent
	 */
	double run(long limitMs) {
		this.members.forEach((member) -> at(0, member::tick));
		while (!this.events.isEmpty() && this.now < limitMs * MS && !done()) {
			Event next = this.events.poll();
			this.now = next.atNanos();
			next.action().run();
		}
		return this.sentByOrigin / (double) CHUNKS;
	}

	boolean done() {
		return this.members.stream().filter((member) -> lives(member.self)).allMatch((member) -> member.doneNanos > 0);
	}

	/**
	 * Returns when the last member with a whole link held the version.
	 * @return time in seconds
	 */
	double lastWholeSeconds() {
		return this.members.stream()
			.filter((member) -> lives(member.self) && this.peers.indexOf(member.self) != this.narrowMember)
			.mapToLong((member) -> member.doneNanos)
			.max()
			.orElse(0) / 1e9;
	}

	double lastSeconds() {
		return this.members.stream()
			.filter((member) -> lives(member.self))
			.mapToLong((member) -> member.doneNanos)
			.max()
			.orElse(0) / 1e9;
	}

	private List<Peer> peers() {
		return this.peers;
	}

	private boolean lives(Peer peer) {
		return !this.dead.contains(peer.instance()) && !this.cutDomains.contains(peer.domain());
	}

	private boolean reaches(Peer from, Peer to) {
		boolean cut = this.cutDomains.contains(from.domain()) != this.cutDomains.contains(to.domain());
		return !this.dead.contains(to.instance()) && (!cut || from.domain().equals(to.domain()));
	}

	private void at(long delayNanos, Runnable action) {
		this.events.add(new Event(this.now + delayNanos, this.order++, action));
	}

	private record Event(long atNanos, long order, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.atNanos, other.atNanos);
			return (byTime != 0) ? byTime : Long.compare(this.order, other.order);
		}

	}

	/** A request that waits for a chunk at a member. */
	private record Waiting(Member from, FetchStep step) {
	}

	/** One member with its two links. */
	private final class Member {

		private final Peer self;

		private final BulkWindow window = new BulkWindow();

		private final ScheduledFetch fetch;

		private final Map<FetchStep, Long> openSince = new IdentityHashMap<>();

		private final Set<Integer> holds = new HashSet<>();

		private final List<Waiting> waiting = new ArrayList<>();

		private long uploadFreeNanos;

		private long uplinkFreeNanos;

		private long downloadFreeNanos;

		private long doneNanos;

		Member(Peer self) {
			this.self = self;
			this.fetch = new ScheduledFetch(self, CHUNKS, this.window);
		}

		private double times() {
			boolean narrow = peers().indexOf(this.self) == LoaderSimulation.this.narrowMember;
			return (narrow) ? LoaderSimulation.this.narrowTimes : 1;
		}

		// A member behind a narrow link leaves its part to others.
		private boolean turnsAway(Member from, FetchStep step) {
			if (!this.window.slow(LoaderSimulation.this.now)) {
				return false;
			}
			if (from.openSince.remove(step) != null) {
				from.fetch.failed(step, FetchFailure.SLOW, LoaderSimulation.this.now);
				from.step();
			}
			return true;
		}

		void tick() {
			if (LoaderSimulation.this.dead.contains(this.self.instance())) {
				return;
			}
			step();
			this.waiting.removeIf((request) -> turnsAway(request.from(), request.step()));
			if (this.doneNanos == 0) {
				at(TICK_NANOS, this::tick);
			}
		}

		private void step() {
			this.fetch.members(LoaderSimulation.this.peers, LoaderSimulation.this.holders);
			this.fetch.next(queueMs(), LoaderSimulation.this.now).forEach(this::start);
		}

		private void start(FetchStep step) {
			if (step.source().isEmpty()) {
				at(LATENCY_NANOS, () -> fromOrigin(step));
				return;
			}
			Peer source = step.source().get();
			if (!reaches(this.self, source)) {
				at(CONNECT_NANOS, () -> this.fetch.failed(step, FetchFailure.UNREACHABLE, LoaderSimulation.this.now));
				return;
			}
			long asked = LoaderSimulation.this.now;
			this.openSince.put(step, asked);
			at(TIMEOUT_NANOS, () -> {
				if (this.openSince.remove(step) != null) {
					this.fetch.failed(step, FetchFailure.UNREACHABLE, LoaderSimulation.this.now);
				}
			});
			Member other = LoaderSimulation.this.members.get(LoaderSimulation.this.peers.indexOf(source));
			at(LATENCY_NANOS, () -> other.asked(this, step));
		}

		// A probe of the link shows the queue in front of it.
		private double queueMs() {
			return Math.max(0, this.downloadFreeNanos - LoaderSimulation.this.now) / (double) MS;
		}

		private void fromOrigin(FetchStep step) {
			long at = LoaderSimulation.this.now;
			boolean down = at >= LoaderSimulation.this.originDownFrom && at < LoaderSimulation.this.originDownUntil;
			if (down || LoaderSimulation.this.cutDomains.contains(this.self.domain())) {
				at(LATENCY_NANOS, () -> this.fetch.failed(step, FetchFailure.UNREACHABLE, LoaderSimulation.this.now));
				return;
			}
			long sent = Math.max(at, LoaderSimulation.this.originFreeNanos) + nanos(ORIGIN_BYTES_PER_SECOND);
			LoaderSimulation.this.originFreeNanos = sent;
			boolean lost = at < LoaderSimulation.this.originDownFrom && sent >= LoaderSimulation.this.originDownFrom;
			if (lost) {
				LoaderSimulation.this.originFreeNanos = LoaderSimulation.this.originDownFrom;
				at(LoaderSimulation.this.originDownFrom - at,
						() -> this.fetch.failed(step, FetchFailure.UNREACHABLE, LoaderSimulation.this.now));
				return;
			}
			LoaderSimulation.this.sentByOrigin++;
			at(sent - at, () -> receive(step, 0));
		}

		private void asked(Member from, FetchStep step) {
			if (turnsAway(from, step)) {
				return;
			}
			if (step.transfer()) {
				send(from, step);
				return;
			}
			if (offer(from, step)) {
				return;
			}
			Waiting request = new Waiting(from, step);
			this.waiting.add(request);
			at(WAIT_NANOS, () -> {
				if (this.waiting.remove(request) && from.openSince.remove(step) != null) {
					from.fetch.failed(step, this.fetch.missing(), LoaderSimulation.this.now);
					from.step();
				}
			});
		}

		private boolean offer(Member to, FetchStep step) {
			List<Integer> found = step.chunks().stream().filter(this.holds::contains).toList();
			if (found.isEmpty()) {
				return false;
			}
			at(LATENCY_NANOS, () -> {
				if (to.openSince.remove(step) != null) {
					to.fetch.offered(step, found);
					to.step();
				}
			});
			return true;
		}

		private void send(Member to, FetchStep step) {
			long paced = Math.max(LoaderSimulation.this.now, this.uploadFreeNanos)
					+ nanos(LINK_BYTES_PER_SECOND * UPLOAD_SHARE);
			this.uploadFreeNanos = paced;
			long sent = Math.max(paced, this.uplinkFreeNanos)
					+ ((times() > 1) ? nanos(LINK_BYTES_PER_SECOND / times()) : 0);
			this.uplinkFreeNanos = sent;
			at(sent - LoaderSimulation.this.now + LATENCY_NANOS, () -> to.receive(step, (sent - paced) / (double) MS));
		}

		private void receive(FetchStep step, double uplinkMs) {
			int index = step.chunks().get(0);
			double rate = LINK_BYTES_PER_SECOND / times();
			long arrived = LoaderSimulation.this.now;
			long received = Math.max(arrived, this.downloadFreeNanos) + nanos(rate);
			this.downloadFreeNanos = received;
			double queueMs = (received - arrived) / (double) MS;
			LoaderSimulation.this.worstQueueMs = Math.max(LoaderSimulation.this.worstQueueMs, queueMs);
			at(received - LoaderSimulation.this.now, () -> {
				if (step.source().isPresent() && this.openSince.remove(step) == null) {
					return;
				}
				this.holds.add(index);
				this.fetch.ended(step, uplinkMs + queueMs, queueMs(), LoaderSimulation.this.now);
				if (this.doneNanos == 0 && this.fetch.complete()) {
					this.doneNanos = LoaderSimulation.this.now;
				}
				List<Waiting> served = this.waiting.stream()
					.filter((request) -> request.step().chunks().contains(index))
					.toList();
				this.waiting.removeAll(served);
				served.forEach((request) -> offer(request.from(), request.step()));
				step();
			});
		}

		private static long nanos(double bytesPerSecond) {
			return (long) (CHUNK_BYTES / bytesPerSecond * TimeUnit.SECONDS.toNanos(1));
		}

	}

}
