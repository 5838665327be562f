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
 * Simulates members that fetch one version over links with a rate and a queue. The origin
 * and each member send one chunk at a time, and each member receives one chunk at a time.
 */
final class LoaderSimulation {

	static final long NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

	static final int CHUNK_COUNT = 96;

	static final int CHUNK_BYTES = 24_576;

	private static final double ORIGIN_BYTES_PER_SECOND = 7.3e6 / 8;

	private static final double LINK_BYTES_PER_SECOND = 5.11e6 / 8;

	private static final double UPLOAD_RATIO = 0.9;

	private static final long LATENCY_NANOS = 2 * NANOS_PER_MS;

	private static final long TICK_NANOS = 50 * NANOS_PER_MS;

	private static final long MAX_QUERY_WAIT_NANOS = 1_200 * NANOS_PER_MS;

	/** Response timeout, the same as in the loaders. */
	private static final long RESPONSE_TIMEOUT_NANOS = 2_200 * NANOS_PER_MS;

	private static final long CONNECT_TIMEOUT_NANOS = 500 * NANOS_PER_MS;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final List<Member> members = new ArrayList<>();

	private final List<Peer> peers = new ArrayList<>();

	private final List<Peer> holders = new ArrayList<>();

	private final Set<String> dead = new HashSet<>();

	private final Set<String> partitionedDomains = new HashSet<>();

	private int narrowMember = -1;

	private double narrowRateDivisor = 1;

	private double maxQueueMs;

	private long originDownFromNanos = Long.MAX_VALUE;

	private long originDownUntilNanos = Long.MAX_VALUE;

	private long originFreeNanos;

	private int chunksSentByOrigin;

	private long nowNanos;

	private long eventCount;

	LoaderSimulation(int members, int domains) {
		for (int index = 0; index < members; index++) {
			String domain = "d" + index % domains;
			Peer peer = new Peer("10." + index % domains + ".0." + (100 + index), domain, domain);
			this.peers.add(peer);
		}
		this.peers.forEach((peer) -> this.members.add(new Member(peer)));
	}

	LoaderSimulation originDown(long fromMs, long untilMs) {
		this.originDownFromNanos = fromMs * NANOS_PER_MS;
		this.originDownUntilNanos = untilMs * NANOS_PER_MS;
		return this;
	}

	LoaderSimulation dead(int... indices) {
		for (int index : indices) {
			this.dead.add(this.peers.get(index).instance());
		}
		return this;
	}

	LoaderSimulation narrow(int index, double rateDivisor) {
		this.narrowMember = index;
		this.narrowRateDivisor = rateDivisor;
		return this;
	}

	/**
	 * Returns the longest time for which a byte was queued at the receiver's link.
	 * @return time in ms
	 */
	double maxQueueMs() {
		return this.maxQueueMs;
	}

	LoaderSimulation holders(int count) {
		for (Member member : this.members.subList(0, count)) {
			for (int index = 0; index < CHUNK_COUNT; index++) {
				member.heldChunks.add(index);
				member.fetch.held(index);
			}
			member.completedNanos = 1;
			this.holders.add(member.self);
		}
		return this;
	}

	LoaderSimulation partition(String domain) {
		this.partitionedDomains.add(domain);
		return this;
	}

	/**
	 * Runs until all live members that reach the origin hold the version.
	 * @param limitMs simulated time at which the run ends at the latest, in ms
	 * @return copies that the origin sent
	 */
	double run(long limitMs) {
		this.members.forEach((member) -> schedule(0, member::tick));
		while (!this.events.isEmpty() && this.nowNanos < limitMs * NANOS_PER_MS && !allComplete()) {
			Event next = this.events.poll();
			this.nowNanos = next.dueNanos();
			next.action().run();
		}
		return this.chunksSentByOrigin / (double) CHUNK_COUNT;
	}

	boolean allComplete() {
		return this.members.stream()
			.filter((member) -> isAvailable(member.self))
			.allMatch((member) -> member.completedNanos > 0);
	}

	/**
	 * Returns when the last member with a link of full rate held the version.
	 * @return time in seconds
	 */
	double lastFullRateCompletionSeconds() {
		return this.members.stream()
			.filter((member) -> isAvailable(member.self) && this.peers.indexOf(member.self) != this.narrowMember)
			.mapToLong((member) -> member.completedNanos)
			.max()
			.orElse(0) / 1e9;
	}

	double lastCompletionSeconds() {
		return this.members.stream()
			.filter((member) -> isAvailable(member.self))
			.mapToLong((member) -> member.completedNanos)
			.max()
			.orElse(0) / 1e9;
	}

	private List<Peer> peers() {
		return this.peers;
	}

	private boolean isAvailable(Peer peer) {
		return !this.dead.contains(peer.instance()) && !this.partitionedDomains.contains(peer.domain());
	}

	private boolean canReach(Peer from, Peer to) {
		boolean separated = this.partitionedDomains.contains(from.domain()) != this.partitionedDomains
			.contains(to.domain());
		return !this.dead.contains(to.instance()) && (!separated || from.domain().equals(to.domain()));
	}

	private void schedule(long delayNanos, Runnable action) {
		this.events.add(new Event(this.nowNanos + delayNanos, this.eventCount++, action));
	}

	private record Event(long dueNanos, long order, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.dueNanos, other.dueNanos);
			return (byTime != 0) ? byTime : Long.compare(this.order, other.order);
		}

	}

	/**
	 * A query that is pending at a member because the member holds none of its chunks.
	 */
	private record PendingQuery(Member requester, FetchRequest request) {
	}

	/** One member with its uplink and downlink. */
	private final class Member {

		private final Peer self;

		private final BulkWindow window = new BulkWindow();

		private final ScheduledFetch fetch;

		private final Map<FetchRequest, Long> openRequests = new IdentityHashMap<>();

		private final Set<Integer> heldChunks = new HashSet<>();

		private final List<PendingQuery> pendingQueries = new ArrayList<>();

		private long uploadFreeNanos;

		private long uplinkFreeNanos;

		private long downloadFreeNanos;

		private long completedNanos;

		Member(Peer self) {
			this.self = self;
			this.fetch = new ScheduledFetch(self, CHUNK_COUNT, this.window);
		}

		private double rateDivisor() {
			boolean narrow = peers().indexOf(this.self) == LoaderSimulation.this.narrowMember;
			return (narrow) ? LoaderSimulation.this.narrowRateDivisor : 1;
		}

		// A member behind a narrow link refuses requests, so that others take over its
		// chunks.
		private boolean refuses(Member requester, FetchRequest request) {
			if (!this.window.isSlow(LoaderSimulation.this.nowNanos)) {
				return false;
			}
			if (requester.openRequests.remove(request) != null) {
				requester.fetch.recordFailure(request, FetchFailure.SLOW, LoaderSimulation.this.nowNanos);
				requester.startRequests();
			}
			return true;
		}

		void tick() {
			if (LoaderSimulation.this.dead.contains(this.self.instance())) {
				return;
			}
			startRequests();
			this.pendingQueries.removeIf((query) -> refuses(query.requester(), query.request()));
			if (this.completedNanos == 0) {
				schedule(TICK_NANOS, this::tick);
			}
		}

		private void startRequests() {
			this.fetch.members(LoaderSimulation.this.peers, LoaderSimulation.this.holders);
			this.fetch.nextRequests(queueMs(), LoaderSimulation.this.nowNanos).forEach(this::startRequest);
		}

		private void startRequest(FetchRequest request) {
			if (request.source().isEmpty()) {
				schedule(LATENCY_NANOS, () -> requestFromOrigin(request));
				return;
			}
			Peer source = request.source().get();
			if (!canReach(this.self, source)) {
				schedule(CONNECT_TIMEOUT_NANOS, () -> this.fetch.recordFailure(request, FetchFailure.UNREACHABLE,
						LoaderSimulation.this.nowNanos));
				return;
			}
			long startNanos = LoaderSimulation.this.nowNanos;
			this.openRequests.put(request, startNanos);
			schedule(RESPONSE_TIMEOUT_NANOS, () -> {
				if (this.openRequests.remove(request) != null) {
					this.fetch.recordFailure(request, FetchFailure.UNREACHABLE, LoaderSimulation.this.nowNanos);
				}
			});
			Member other = LoaderSimulation.this.members.get(LoaderSimulation.this.peers.indexOf(source));
			schedule(LATENCY_NANOS, () -> other.receiveRequest(this, request));
		}

		// Returns the queueing delay of the downlink, which a probe of the link measures.
		private double queueMs() {
			return Math.max(0, this.downloadFreeNanos - LoaderSimulation.this.nowNanos) / (double) NANOS_PER_MS;
		}

		private void requestFromOrigin(FetchRequest request) {
			long arrivalNanos = LoaderSimulation.this.nowNanos;
			boolean down = arrivalNanos >= LoaderSimulation.this.originDownFromNanos
					&& arrivalNanos < LoaderSimulation.this.originDownUntilNanos;
			if (down || LoaderSimulation.this.partitionedDomains.contains(this.self.domain())) {
				schedule(LATENCY_NANOS, () -> this.fetch.recordFailure(request, FetchFailure.UNREACHABLE,
						LoaderSimulation.this.nowNanos));
				return;
			}
			long sentNanos = Math.max(arrivalNanos, LoaderSimulation.this.originFreeNanos)
					+ chunkNanos(ORIGIN_BYTES_PER_SECOND);
			LoaderSimulation.this.originFreeNanos = sentNanos;
			boolean lost = arrivalNanos < LoaderSimulation.this.originDownFromNanos
					&& sentNanos >= LoaderSimulation.this.originDownFromNanos;
			if (lost) {
				LoaderSimulation.this.originFreeNanos = LoaderSimulation.this.originDownFromNanos;
				schedule(LoaderSimulation.this.originDownFromNanos - arrivalNanos, () -> this.fetch
					.recordFailure(request, FetchFailure.UNREACHABLE, LoaderSimulation.this.nowNanos));
				return;
			}
			LoaderSimulation.this.chunksSentByOrigin++;
			schedule(sentNanos - arrivalNanos, () -> receiveChunk(request, 0));
		}

		private void receiveRequest(Member requester, FetchRequest request) {
			if (refuses(requester, request)) {
				return;
			}
			if (request.transfer()) {
				send(requester, request);
				return;
			}
			if (offer(requester, request)) {
				return;
			}
			PendingQuery query = new PendingQuery(requester, request);
			this.pendingQueries.add(query);
			schedule(MAX_QUERY_WAIT_NANOS, () -> {
				if (this.pendingQueries.remove(query) && requester.openRequests.remove(request) != null) {
					requester.fetch.recordFailure(request, this.fetch.missingChunkReason(),
							LoaderSimulation.this.nowNanos);
					requester.startRequests();
				}
			});
		}

		private boolean offer(Member requester, FetchRequest request) {
			List<Integer> heldIndices = request.chunks().stream().filter(this.heldChunks::contains).toList();
			if (heldIndices.isEmpty()) {
				return false;
			}
			schedule(LATENCY_NANOS, () -> {
				if (requester.openRequests.remove(request) != null) {
					requester.fetch.recordOffer(request, heldIndices);
					requester.startRequests();
				}
			});
			return true;
		}

		private void send(Member requester, FetchRequest request) {
			long pacedNanos = Math.max(LoaderSimulation.this.nowNanos, this.uploadFreeNanos)
					+ chunkNanos(LINK_BYTES_PER_SECOND * UPLOAD_RATIO);
			this.uploadFreeNanos = pacedNanos;
			long sentNanos = Math.max(pacedNanos, this.uplinkFreeNanos)
					+ ((rateDivisor() > 1) ? chunkNanos(LINK_BYTES_PER_SECOND / rateDivisor()) : 0);
			this.uplinkFreeNanos = sentNanos;
			schedule(sentNanos - LoaderSimulation.this.nowNanos + LATENCY_NANOS,
					() -> requester.receiveChunk(request, (sentNanos - pacedNanos) / (double) NANOS_PER_MS));
		}

		private void receiveChunk(FetchRequest request, double uplinkMs) {
			int index = request.chunks().get(0);
			double bytesPerSecond = LINK_BYTES_PER_SECOND / rateDivisor();
			long arrivalNanos = LoaderSimulation.this.nowNanos;
			long receivedNanos = Math.max(arrivalNanos, this.downloadFreeNanos) + chunkNanos(bytesPerSecond);
			this.downloadFreeNanos = receivedNanos;
			double queueMs = (receivedNanos - arrivalNanos) / (double) NANOS_PER_MS;
			LoaderSimulation.this.maxQueueMs = Math.max(LoaderSimulation.this.maxQueueMs, queueMs);
			schedule(receivedNanos - LoaderSimulation.this.nowNanos, () -> {
				if (request.source().isPresent() && this.openRequests.remove(request) == null) {
					return;
				}
				this.heldChunks.add(index);
				this.fetch.recordTransfer(request, uplinkMs + queueMs, queueMs(), LoaderSimulation.this.nowNanos);
				if (this.completedNanos == 0 && this.fetch.complete()) {
					this.completedNanos = LoaderSimulation.this.nowNanos;
				}
				List<PendingQuery> answerable = this.pendingQueries.stream()
					.filter((query) -> query.request().chunks().contains(index))
					.toList();
				this.pendingQueries.removeAll(answerable);
				answerable.forEach((query) -> offer(query.requester(), query.request()));
				startRequests();
			});
		}

		private static long chunkNanos(double bytesPerSecond) {
			return (long) (CHUNK_BYTES / bytesPerSecond * TimeUnit.SECONDS.toNanos(1));
		}

	}

}
