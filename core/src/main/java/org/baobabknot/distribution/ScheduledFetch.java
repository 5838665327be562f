package org.baobabknot.distribution;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.baobabknot.distribution.ChunkOffers.OfferedChunk;
import org.baobabknot.distribution.ChunkOffers.Query;
import org.baobabknot.link.BulkWindow;

/**
 * Decides which chunks of a version one member requests from which source, according to a
 * {@link ChunkSchedule}. It is designed for a version that all members fetch at the same
 * time over narrow links, from an origin that can send about one copy in the available
 * time. Confined to one thread.
 * <p>
 * A chunk is sent by the origin once. Another member takes over from its origin fetcher
 * only when that one is unreachable or reports that the origin does not respond to it;
 * otherwise all members would request the same few chunks when the origin returns from an
 * outage.
 * <p>
 * A query asks a member for any of the chunks that it should hold, so that a request
 * never waits for one chunk while the member holds another. The member responds with the
 * chunks that it holds, and their bytes are requested as far as a {@link BulkWindow}
 * allows. If members sent the bytes as soon as they hold them, the receiver could not
 * limit the transfers.
 */
public final class ScheduledFetch {

	/**
	 * Concurrent requests of a member of a small fleet to the origin: one is transferred
	 * while the next is queued.
	 */
	static final int MAX_ORIGIN_REQUESTS = 2;

	/**
	 * Fleet size from which one request per member keeps the origin busy. More requests
	 * would delay the manifest of a newer version.
	 */
	static final int MIN_LARGE_FLEET_MEMBERS = 6;

	/**
	 * Queries to members that may be open at once: two for each member of a fleet of 16.
	 */
	static final int MAX_OPEN_QUERIES = 32;

	/** Time for which a member that was unreachable or slow is avoided, in ms. */
	static final long AVOIDANCE_MS = 2_500;

	/**
	 * Time after a failure of the origin before it is asked again for a chunk that is
	 * assigned to this member, in ms.
	 */
	static final long ORIGIN_RETRY_DELAY_MS = 250;

	/**
	 * Time for which an origin fetcher must have been without the origin before another
	 * member takes over its chunk, and before the origin is asked again for such a chunk,
	 * in ms. The latter is doubled with each failure.
	 */
	static final long TAKEOVER_DELAY_MS = 1_000;

	private static final int MAX_DOUBLINGS = 2;

	/**
	 * Failed requests for a chunk after which any member asks the origin, in case its
	 * list of members differs from that of the others.
	 */
	private static final int MISSES_BEFORE_ORIGIN = 8;

	/**
	 * Every fourth request for a chunk goes to another member than the preferred source.
	 * The preferred source gets the chunk before the others unless it has a fault.
	 */
	private static final int ALTERNATE_SOURCE_INTERVAL = 4;

	private static final long NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

	private final Peer self;

	private final int chunkCount;

	private final BitSet held = new BitSet();

	private final BitSet requestedFromOrigin = new BitSet();

	private final Map<Integer, Long> originUnavailableSince = new HashMap<>();

	private final int[] misses;

	private final Set<Query> openQueries = new HashSet<>();

	private final Map<Peer, Long> avoidedUntilNanos = new HashMap<>();

	private final Map<Integer, List<Peer>> sources = new HashMap<>();

	private List<Peer> members = List.of();

	private List<Peer> holders = List.of();

	private ChunkSchedule schedule;

	private final ChunkOffers offers = new ChunkOffers();

	private final BulkWindow window;

	private int originFailures;

	private long originFailedNanos;

	/**
	 * Creates the fetch of one version.
	 * @param self this member
	 * @param chunks chunks of the version
	 * @param window bounds all transfers to this machine
	 */
	public ScheduledFetch(Peer self, int chunks, BulkWindow window) {
		this.self = self;
		this.window = window;
		this.chunkCount = chunks;
		this.misses = new int[chunks];
		this.schedule = new ChunkSchedule(self, this.members);
	}

	/**
	 * Sets the members among which chunks are assigned. When at least half of them
	 * already run the version, a member that joins later fetches it from them and not
	 * from the origin, preferring those of its own failure domain.
	 * @param all all members, with or without this one
	 * @param holders those whose target runs the version
	 */
	public void members(Collection<Peer> all, Collection<Peer> holders) {
		List<Peer> otherHolders = new ArrayList<>(holders);
		otherHolders.remove(this.self);
		if (otherHolders.size() * 2 < all.size()) {
			otherHolders.clear();
		}
		if (this.members.equals(all) && this.holders.equals(otherHolders)) {
			return;
		}
		if (!this.members.equals(all)) {
			this.members = List.copyOf(all);
			this.schedule = new ChunkSchedule(this.self, this.members);
		}
		this.holders = otherHolders;
		this.sources.clear();
	}

	private List<Peer> sources(int index) {
		if (this.holders.isEmpty()) {
			return this.schedule.sources(index);
		}
		List<Peer> sameDomain = new ArrayList<>(this.holders);
		sameDomain.removeIf((member) -> !member.domain().equals(this.self.domain()));
		List<Peer> otherDomains = new ArrayList<>(this.holders);
		otherDomains.removeAll(sameDomain);
		Collections.rotate(sameDomain, index);
		Collections.rotate(otherDomains, index);
		sameDomain.addAll(otherDomains);
		return sameDomain;
	}

	/**
	 * Records a chunk that this member holds, whatever its source.
	 * @param index number of the chunk
	 */
	public void held(int index) {
		this.held.set(index);
	}

	/**
	 * Returns whether all chunks are held.
	 * @return whether nothing is left to fetch
	 */
	public boolean complete() {
		return this.held.cardinality() == this.chunkCount;
	}

	/**
	 * Returns the failure to report to another member that asks for chunks that are not
	 * held.
	 * @return {@link FetchFailure#NOT_SUPPLIED} while requests of this member to the
	 * origin fail, otherwise {@link FetchFailure#NOT_HELD}
	 */
	public FetchFailure missingChunkReason() {
		return (this.originFailures > 0) ? FetchFailure.NOT_SUPPLIED : FetchFailure.NOT_HELD;
	}

	/**
	 * Returns the requests to start now. Each of them must be completed with
	 * {@link #recordOffer}, {@link #recordTransfer}, {@link #recordCorruption} or
	 * {@link #recordFailure}.
	 * @param linkDelayMs queueing delay at the link of this instance, in ms
	 * @param nowNanos monotonic time
	 * @return the requests
	 */
	public List<FetchRequest> nextRequests(double linkDelayMs, long nowNanos) {
		List<FetchRequest> requests = new ArrayList<>();
		Map<Query, List<Integer>> chunksByQuery = new HashMap<>();
		for (int index = this.held.nextClearBit(0); index < this.chunkCount; index = this.held
			.nextClearBit(index + 1)) {
			if (canRequestFromOrigin(index, nowNanos)) {
				this.requestedFromOrigin.set(index);
				requests.add(new FetchRequest(Optional.empty(), List.of(index), 0, true));
			}
			int chunk = index;
			selectSource(index, nowNanos).map((member) -> queryFor(member, chunk))
				.filter((query) -> !this.requestedFromOrigin.get(chunk) && !this.offers.inFlight(chunk)
						&& !this.openQueries.contains(query))
				.ifPresent((query) -> chunksByQuery.computeIfAbsent(query, (absent) -> new ArrayList<>()).add(chunk));
		}
		addTransfers(requests, linkDelayMs, nowNanos);
		chunksByQuery.forEach((query, indices) -> {
			if (this.openQueries.size() < MAX_OPEN_QUERIES) {
				this.openQueries.add(query);
				requests.add(new FetchRequest(Optional.of(query.member()), indices, query.number(), false));
			}
		});
		return requests;
	}

	private void addTransfers(List<FetchRequest> requests, double linkDelayMs, long now) {
		this.offers.removeUnneeded((index) -> this.held.get(index) || this.requestedFromOrigin.get(index))
			.forEach(this.openQueries::remove);
		Optional<OfferedChunk> next = this.offers.selectNext(this.schedule::fetchesIntoDomain);
		while (next.isPresent() && this.window.tryStart(linkDelayMs, now)) {
			OfferedChunk chunk = next.get();
			this.offers.markStarted(chunk);
			requests.add(new FetchRequest(Optional.of(chunk.query().member()), List.of(chunk.index()),
					chunk.query().number(), true));
			next = this.offers.selectNext(this.schedule::fetchesIntoDomain);
		}
	}

	/**
	 * Records the response of a member to a query.
	 * @param request the query
	 * @param indices chunks that the member holds
	 */
	public void recordOffer(FetchRequest request, Collection<Integer> indices) {
		this.offers.add(new Query(request.source().orElseThrow(), request.queryNumber()), indices);
	}

	/**
	 * Records a transfer that delivered a chunk.
	 * @param request the transfer
	 * @param transferMs duration of the transfer, in ms
	 * @param linkDelayMs queueing delay at the link of this instance, in ms
	 * @param nowNanos monotonic time
	 */
	public void recordTransfer(FetchRequest request, double transferMs, double linkDelayMs, long nowNanos) {
		finishTransfer(request, transferMs, linkDelayMs, nowNanos);
		held(request.chunks().get(0));
		if (request.source().isEmpty() && this.originFailures > 0) {
			// Reports of other members about the origin date from the same outage.
			this.originFailures = 0;
			this.originUnavailableSince.clear();
			Arrays.fill(this.misses, 0);
		}
	}

	private void finishTransfer(FetchRequest request, double transferMs, double linkDelayMs, long now) {
		finish(request);
		// The duration of a transfer from the origin depends mostly on the origin's own
		// link.
		if (request.source().isPresent()) {
			this.window.recordArrival(transferMs, linkDelayMs, now);
		}
	}

	/**
	 * Records a request that failed.
	 * @param request the request
	 * @param reason the reason
	 * @param nowNanos monotonic time
	 */
	public void recordFailure(FetchRequest request, FetchFailure reason, long nowNanos) {
		finish(request);
		if (request.source().isEmpty()) {
			if (reason != FetchFailure.CORRUPT) {
				this.originFailures++;
				this.originFailedNanos = nowNanos;
			}
			return;
		}
		if (request.transfer() && reason == FetchFailure.UNREACHABLE) {
			this.window.recordLoss(nowNanos);
		}
		else if (request.transfer()) {
			this.window.recordRefusal();
		}
		Peer source = request.source().get();
		if (reason == FetchFailure.UNREACHABLE || reason == FetchFailure.SLOW) {
			this.avoidedUntilNanos.put(source, nowNanos + AVOIDANCE_MS * NANOS_PER_MS);
			removeOffer(new Query(source, 0));
			removeOffer(new Query(source, 1));
			return;
		}
		removeOffer(new Query(source, request.queryNumber()));
		for (int index : request.chunks()) {
			if (this.schedule.originFetcher(index).equals(source)) {
				recordOriginAvailability(index, reason != FetchFailure.NOT_SUPPLIED, nowNanos);
			}
			this.misses[index]++;
		}
	}

	/**
	 * Records a transfer that delivered a corrupt chunk.
	 * @param request the transfer
	 * @param transferMs duration of the transfer, in ms
	 * @param linkDelayMs queueing delay at the link of this instance, in ms
	 * @param nowNanos monotonic time
	 */
	public void recordCorruption(FetchRequest request, double transferMs, double linkDelayMs, long nowNanos) {
		finishTransfer(request, transferMs, linkDelayMs, nowNanos);
		int index = request.chunks().get(0);
		// The next request for the chunk goes to another member.
		this.misses[index] += ALTERNATE_SOURCE_INTERVAL - 1 - this.misses[index] % ALTERNATE_SOURCE_INTERVAL;
	}

	private void removeOffer(Query query) {
		if (this.offers.remove(query)) {
			this.openQueries.remove(query);
		}
	}

	private int maxOriginRequests() {
		return (this.members.size() < MIN_LARGE_FLEET_MEMBERS) ? MAX_ORIGIN_REQUESTS : 1;
	}

	private void recordOriginAvailability(int index, boolean available, long now) {
		if (available || this.originFailures > 0) {
			this.originUnavailableSince.remove(index);
		}
		else {
			this.originUnavailableSince.putIfAbsent(index, now);
		}
	}

	private boolean canRequestFromOrigin(int index, long now) {
		if (this.requestedFromOrigin.get(index) || this.offers.inFlight(index)
				|| this.requestedFromOrigin.cardinality() >= maxOriginRequests()) {
			return false;
		}
		if (this.window.isSlow(now) && this.window.inFlight() + this.requestedFromOrigin.cardinality() > 0) {
			return false;
		}
		if (this.holders.isEmpty() && this.schedule.fetchesFromOrigin(index)) {
			return originRetryAllowed(ORIGIN_RETRY_DELAY_MS, now);
		}
		boolean missedTooOften = this.misses[index] >= MISSES_BEFORE_ORIGIN && this.originFailures == 0;
		return (missedTooOften || shouldTakeOver(index, now)) && originRetryAllowed(takeoverDelayMs(), now);
	}

	// Returns whether this member takes over a chunk. One member of each failure domain
	// takes over from an origin fetcher.
	private boolean shouldTakeOver(int index, long now) {
		if (!this.holders.isEmpty()) {
			return this.holders.stream().allMatch((member) -> isAvoided(member, now));
		}
		Peer fetcher = this.schedule.originFetcher(index);
		Long since = this.originUnavailableSince.get(index);
		boolean originUnavailable = since != null && now - since >= TAKEOVER_DELAY_MS * NANOS_PER_MS;
		if (!originUnavailable && !isAvoided(fetcher, now)) {
			return false;
		}
		for (Peer member : this.schedule.takeoverOrder(index)) {
			if (!member.equals(fetcher) && !isAvoided(member, now)) {
				return member.equals(this.self);
			}
		}
		return false;
	}

	private Optional<Peer> selectSource(int index, long now) {
		boolean assignedToSelf = this.schedule.fetchesFromOrigin(index) && this.holders.isEmpty();
		if (assignedToSelf && this.originFailures == 0 && !this.window.isSlow(now)) {
			return Optional.empty();
		}
		List<Peer> candidates = new ArrayList<>(this.sources.computeIfAbsent(index, this::sources));
		candidates.removeIf((member) -> isAvoided(member, now));
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		// Any member may hold a chunk that is assigned to this one, when this member
		// joined later or another one took over for some time.
		int missCount = this.misses[index];
		boolean useAlternate = candidates.size() > 1
				&& missCount % ALTERNATE_SOURCE_INTERVAL == ALTERNATE_SOURCE_INTERVAL - 1;
		int position = (assignedToSelf) ? (index + missCount) % candidates.size()
				: (useAlternate) ? 1 + missCount / ALTERNATE_SOURCE_INTERVAL % (candidates.size() - 1) : 0;
		return Optional.of(candidates.get(position));
	}

	private long takeoverDelayMs() {
		return TAKEOVER_DELAY_MS << Math.min(MAX_DOUBLINGS, Math.max(0, this.originFailures - 1));
	}

	private boolean originRetryAllowed(long delayMs, long now) {
		return this.originFailures == 0 || now - this.originFailedNanos >= delayMs * NANOS_PER_MS;
	}

	private boolean isAvoided(Peer member, long now) {
		Long until = this.avoidedUntilNanos.get(member);
		return until != null && now - until < 0;
	}

	// Two concurrent queries keep a member busy without a gap. Each chunk belongs to one
	// of the two, so that none is sent twice.
	private Query queryFor(Peer member, int index) {
		return new Query(member, index / Math.max(1, this.members.size()) % 2);
	}

	private void finish(FetchRequest request) {
		if (request.source().isEmpty()) {
			this.requestedFromOrigin.clear(request.chunks().get(0));
			return;
		}
		Query query = new Query(request.source().get(), request.queryNumber());
		if (request.transfer()) {
			this.offers.markEnded(query, request.chunks().get(0));
		}
		if (!this.offers.contains(query)) {
			this.openQueries.remove(query);
		}
	}

}
