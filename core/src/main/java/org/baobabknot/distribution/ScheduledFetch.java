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

import org.baobabknot.distribution.ChunkOffers.Choice;
import org.baobabknot.distribution.ChunkOffers.Lane;
import org.baobabknot.link.BulkWindow;

/**
 * Decides which chunks of a version one member asks of whom, along a
 * {@link ChunkSchedule}. Answers the load of a version that all members fetch at the same
 * moment over thin links, with an origin that sends about one copy in the time there is.
 * A chunk leaves the origin once: another member takes the place of the one that brings
 * it only when that one is out of reach or says that the origin does not answer it.
 * Otherwise all members would ask for the same few chunks when the origin returns from an
 * outage. A member is asked for any of the chunks that it should have, so that a request
 * never waits for one chunk while the member holds another. It answers with what it holds
 * and is asked for the bytes then, as far as a {@link BulkWindow} allows: an answer that
 * comes when the sender is ready, and not when the receiver is, could not be held back.
 * Confined to one thread.
 */
public final class ScheduledFetch {

	/**
	 * Requests to the origin at once of a small fleet: one on its link, one behind it.
	 */
	static final int AT_ORIGIN = 2;

	/**
	 * Members from which on one request each keeps the origin busy. More of them would
	 * delay the manifest of a newer version.
	 */
	static final int LARGE_FLEET = 6;

	/** Questions to members at once, two to each of a fleet of 16. */
	static final int MOST_QUESTIONS = 32;

	/** Time for which a member that could not be reached is passed over, in ms. */
	static final long AVOID_MS = 2_500;

	/** Time before the origin is asked again for an own chunk after it failed, in ms. */
	static final long ORIGIN_PAUSE_MS = 250;

	/**
	 * Time for which a member must lack the origin before another one brings its chunk,
	 * and before the origin is asked for such a chunk again, in ms. It is doubled with
	 * each failure.
	 */
	static final long TAKEOVER_PAUSE_MS = 1_000;

	private static final int MOST_DOUBLINGS = 2;

	/**
	 * Answers without the chunk after which any member asks the origin, in case that its
	 * list of members differs from that of the others.
	 */
	private static final int PATIENCE = 8;

	/**
	 * One of so many requests for a chunk goes past the member that should have it, which
	 * gets it before the others unless something is wrong.
	 */
	private static final int ASIDE = 4;

	private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

	private final Peer self;

	private final int chunks;

	private final BitSet held = new BitSet();

	private final BitSet atOrigin = new BitSet();

	private final Map<Integer, Long> unsuppliedSince = new HashMap<>();

	private final int[] misses;

	private final Set<Lane> asked = new HashSet<>();

	private final Map<Peer, Long> avoidedUntil = new HashMap<>();

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
		this.chunks = chunks;
		this.misses = new int[chunks];
		this.schedule = new ChunkSchedule(self, this.members);
	}

	/**
	 * Sets the members among which chunks are dealt. When most of them hold the version
	 * already, a member that joins later gets it from them and not from the origin, those
	 * of its own failure domain first.
	 * @param all all members, with or without this one
	 * @param holders those whose target runs the version
	 */
	public void members(Collection<Peer> all, Collection<Peer> holders) {
		List<Peer> others = new ArrayList<>(holders);
		others.remove(this.self);
		if (others.size() * 2 < all.size()) {
			others.clear();
		}
		if (this.members.equals(all) && this.holders.equals(others)) {
			return;
		}
		if (!this.members.equals(all)) {
			this.members = List.copyOf(all);
			this.schedule = new ChunkSchedule(this.self, this.members);
		}
		this.holders = others;
		this.sources.clear();
	}

	private List<Peer> sources(int index) {
		if (this.holders.isEmpty()) {
			return this.schedule.sources(index);
		}
		List<Peer> near = new ArrayList<>(this.holders);
		near.removeIf((member) -> !member.domain().equals(this.self.domain()));
		List<Peer> far = new ArrayList<>(this.holders);
		far.removeAll(near);
		Collections.rotate(near, index);
		Collections.rotate(far, index);
		near.addAll(far);
		return near;
	}

	/**
	 * Takes note of a chunk that this member holds, wherever it came from.
	 * @param index number of the chunk
	 */
	public void held(int index) {
		this.held.set(index);
	}

	/**
	 * Tells whether all chunks are held.
	 * @return whether nothing is left to fetch
	 */
	public boolean complete() {
		return this.held.cardinality() == this.chunks;
	}

	/**
	 * Returns what another member is told that asks for chunks that are not held.
	 * @return whether this member can expect to get them
	 */
	public FetchFailure missing() {
		return (this.originFailures > 0) ? FetchFailure.NOT_SUPPLIED : FetchFailure.NOT_HELD;
	}

	/**
	 * Returns the requests to start now. Each of them must be ended with
	 * {@link #offered}, {@link #ended}, {@link #corrupt} or {@link #failed}.
	 * @param linkDelayMs time for which bytes wait at the link of this machine, in ms
	 * @param nowNanos monotonic time
	 * @return the requests
	 */
	public List<FetchStep> next(double linkDelayMs, long nowNanos) {
		List<FetchStep> steps = new ArrayList<>();
		Map<Lane, List<Integer>> wanted = new HashMap<>();
		for (int index = this.held.nextClearBit(0); index < this.chunks; index = this.held.nextClearBit(index + 1)) {
			if (asksOrigin(index, nowNanos)) {
				this.atOrigin.set(index);
				steps.add(new FetchStep(Optional.empty(), List.of(index), 0, true));
			}
			int number = index;
			member(index, nowNanos).map((member) -> lane(member, number))
				.filter((lane) -> !this.atOrigin.get(number) && !this.offers.onTheWay(number)
						&& !this.asked.contains(lane))
				.ifPresent((lane) -> wanted.computeIfAbsent(lane, (absent) -> new ArrayList<>()).add(number));
		}
		addTransfers(steps, linkDelayMs, nowNanos);
		wanted.forEach((lane, indices) -> {
			if (this.asked.size() < MOST_QUESTIONS) {
				this.asked.add(lane);
				steps.add(new FetchStep(Optional.of(lane.member()), indices, lane.number(), false));
			}
		});
		return steps;
	}

	private void addTransfers(List<FetchStep> steps, double linkDelayMs, long now) {
		this.offers.drop((index) -> this.held.get(index) || this.atOrigin.get(index)).forEach(this.asked::remove);
		Optional<Choice> best = this.offers.best(this.schedule::inward);
		while (best.isPresent() && this.window.tryStart(linkDelayMs, now)) {
			Choice choice = best.get();
			this.offers.started(choice);
			steps.add(new FetchStep(Optional.of(choice.lane().member()), List.of(choice.index()),
					choice.lane().number(), true));
			best = this.offers.best(this.schedule::inward);
		}
	}

	/**
	 * A member answered a question.
	 * @param step the question
	 * @param indices chunks that it holds
	 */
	public void offered(FetchStep step, Collection<Integer> indices) {
		this.offers.add(new Lane(step.source().orElseThrow(), step.lane()), indices);
	}

	/**
	 * A transfer brought a chunk.
	 * @param step the transfer
	 * @param transferMs time for which it was on its way, in ms
	 * @param linkDelayMs time for which bytes wait at the link of this machine, in ms
	 * @param nowNanos monotonic time
	 */
	public void ended(FetchStep step, double transferMs, double linkDelayMs, long nowNanos) {
		arrived(step, transferMs, linkDelayMs, nowNanos);
		held(step.chunks().get(0));
		if (step.source().isEmpty() && this.originFailures > 0) {
			// What others said of the origin was said in the same outage.
			this.originFailures = 0;
			this.unsuppliedSince.clear();
			Arrays.fill(this.misses, 0);
		}
	}

	private void arrived(FetchStep step, double transferMs, double linkDelayMs, long now) {
		end(step);
		// The time at the origin is mostly that of its own link.
		if (step.source().isPresent()) {
			this.window.arrived(transferMs, linkDelayMs, now);
		}
	}

	/**
	 * A request failed.
	 * @param step the request
	 * @param reason the reason
	 * @param nowNanos monotonic time
	 */
	public void failed(FetchStep step, FetchFailure reason, long nowNanos) {
		end(step);
		if (step.source().isEmpty()) {
			if (reason != FetchFailure.CORRUPT) {
				this.originFailures++;
				this.originFailedNanos = nowNanos;
			}
			return;
		}
		if (step.transfer() && reason == FetchFailure.UNREACHABLE) {
			this.window.lost(nowNanos);
		}
		else if (step.transfer()) {
			this.window.refused();
		}
		Peer source = step.source().get();
		if (reason == FetchFailure.UNREACHABLE || reason == FetchFailure.SLOW) {
			this.avoidedUntil.put(source, nowNanos + AVOID_MS * MILLISECOND);
			withdraw(new Lane(source, 0));
			withdraw(new Lane(source, 1));
			return;
		}
		withdraw(new Lane(source, step.lane()));
		for (int index : step.chunks()) {
			if (this.schedule.fetcher(index).equals(source)) {
				noteSupply(index, reason != FetchFailure.NOT_SUPPLIED, nowNanos);
			}
			this.misses[index]++;
		}
	}

	/**
	 * A transfer brought a chunk whose bytes are wrong.
	 * @param step the transfer
	 * @param transferMs time for which it was on its way, in ms
	 * @param linkDelayMs time for which bytes wait at the link of this machine, in ms
	 * @param nowNanos monotonic time
	 */
	public void corrupt(FetchStep step, double transferMs, double linkDelayMs, long nowNanos) {
		arrived(step, transferMs, linkDelayMs, nowNanos);
		int index = step.chunks().get(0);
		// The next request for it goes to another member.
		this.misses[index] += ASIDE - 1 - this.misses[index] % ASIDE;
	}

	private void withdraw(Lane lane) {
		if (this.offers.withdraw(lane)) {
			this.asked.remove(lane);
		}
	}

	private int mostAtOrigin() {
		return (this.members.size() < LARGE_FLEET) ? AT_ORIGIN : 1;
	}

	private void noteSupply(int index, boolean supplied, long now) {
		if (supplied || this.originFailures > 0) {
			this.unsuppliedSince.remove(index);
		}
		else {
			this.unsuppliedSince.putIfAbsent(index, now);
		}
	}

	private boolean asksOrigin(int index, long now) {
		if (this.atOrigin.get(index) || this.offers.onTheWay(index) || this.atOrigin.cardinality() >= mostAtOrigin()) {
			return false;
		}
		if (this.window.slow(now) && this.window.onTheWay() + this.atOrigin.cardinality() > 0) {
			return false;
		}
		if (this.holders.isEmpty() && this.schedule.fromOrigin(index)) {
			return originAllows(ORIGIN_PAUSE_MS, now);
		}
		boolean late = this.misses[index] >= PATIENCE && this.originFailures == 0;
		return (late || takesOver(index, now)) && originAllows(takeoverPauseMs(), now);
	}

	// One member of each failure domain takes the place of the one that brings a chunk.
	private boolean takesOver(int index, long now) {
		if (!this.holders.isEmpty()) {
			return this.holders.stream().allMatch((member) -> avoided(member, now));
		}
		Peer fetcher = this.schedule.fetcher(index);
		Long since = this.unsuppliedSince.get(index);
		boolean unsupplied = since != null && now - since >= TAKEOVER_PAUSE_MS * MILLISECOND;
		if (!unsupplied && !avoided(fetcher, now)) {
			return false;
		}
		for (Peer member : this.schedule.standIns(index)) {
			if (!member.equals(fetcher) && !avoided(member, now)) {
				return member.equals(this.self);
			}
		}
		return false;
	}

	private Optional<Peer> member(int index, long now) {
		boolean own = this.schedule.fromOrigin(index) && this.holders.isEmpty();
		if (own && this.originFailures == 0 && !this.window.slow(now)) {
			return Optional.empty();
		}
		List<Peer> candidates = new ArrayList<>(this.sources.computeIfAbsent(index, this::sources));
		candidates.removeIf((member) -> avoided(member, now));
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		// An own chunk may be held by anyone, when this member joins later or was
		// replaced
		// for a while.
		int missed = this.misses[index];
		boolean aside = candidates.size() > 1 && missed % ASIDE == ASIDE - 1;
		int place = (own) ? (index + missed) % candidates.size()
				: (aside) ? 1 + missed / ASIDE % (candidates.size() - 1) : 0;
		return Optional.of(candidates.get(place));
	}

	private long takeoverPauseMs() {
		return TAKEOVER_PAUSE_MS << Math.min(MOST_DOUBLINGS, Math.max(0, this.originFailures - 1));
	}

	private boolean originAllows(long pauseMs, long now) {
		return this.originFailures == 0 || now - this.originFailedNanos >= pauseMs * MILLISECOND;
	}

	private boolean avoided(Peer member, long now) {
		Long until = this.avoidedUntil.get(member);
		return until != null && now - until < 0;
	}

	// Two requests to a member follow each other without a gap; the chunks are divided
	// among them so that none is sent twice.
	private Lane lane(Peer member, int index) {
		return new Lane(member, index / Math.max(1, this.members.size()) % 2);
	}

	private void end(FetchStep step) {
		if (step.source().isEmpty()) {
			this.atOrigin.clear(step.chunks().get(0));
			return;
		}
		Lane lane = new Lane(step.source().get(), step.lane());
		if (step.transfer()) {
			this.offers.ended(lane, step.chunks().get(0));
		}
		if (!this.offers.contains(lane)) {
			this.asked.remove(lane);
		}
	}

}
