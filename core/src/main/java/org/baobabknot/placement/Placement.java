package org.baobabknot.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;

/**
 * Chooses the target with the lowest predicted time to the first byte, corrected by its
 * recent responses. A request whose response would be late at every target is refused at
 * once: engines run near their limit, where a queued request delays all requests behind
 * it.
 */
public final class Placement {

	/**
	 * Requests in excess of its slots that are sent to a target, so that it has work when
	 * a request ends.
	 */
	private static final double SPARE_REQUESTS = 1;

	/**
	 * Lag above which a target gets no requests while others lag less. Callers abandon a
	 * stream after two seconds without an event.
	 */
	private static final double MAX_LAG_MS = 800;

	/**
	 * Link delay above which a target gets no requests while another target has a shorter
	 * delay.
	 */
	private static final double MAX_PREFERRED_LINK_DELAY_MS = 250;

	/**
	 * Link delay above which a target gets no requests at all. A request may run for at
	 * most half a second after its caller has left, and a caller may leave as soon as its
	 * request is sent.
	 */
	private static final double MAX_LINK_DELAY_MS = 500;

	/**
	 * Time in excess of the predicted time after which one unconfirmed request keeps
	 * further requests away from a target while others are available.
	 */
	private static final double MAX_UNCONFIRMED_MS = 150;

	/**
	 * Time until requests of other processes to a target become visible in the reports of
	 * its loader. Loaders read the load of their engines every 150 ms and report changes
	 * of two or more requests.
	 */
	static final double REPORT_DELAY_MS = 120;

	/** Part of a target's slots up to which requests run without queueing. */
	private static final double BUSY_RATIO = 1;

	private final PlacementSettings settings;

	private final RandomGenerator random;

	/**
	 * Creates a placement.
	 * @param settings weights
	 * @param random source of random choices
	 */
	public Placement(PlacementSettings settings, RandomGenerator random) {
		this.settings = settings;
		this.random = random;
	}

	/**
	 * Chooses a target.
	 * @param all targets that the request may be sent to
	 * @param estimate estimated cost of the request
	 * @param coldRatePerSecond requests per second that a cold target accepts, 0 for no
	 * limit
	 * @param senders processes that share the rate, at least 1
	 * @param nowNanos monotonic time
	 * @return the chosen target, or the reason for a refusal
	 */
	public PlacementResult choose(List<Candidate> all, RequestEstimate estimate, double coldRatePerSecond, int senders,
			long nowNanos) {
		List<Candidate> staying = all.stream()
			.filter((each) -> !each.load().availability().leaving() && !each.load().refusesConnections(nowNanos))
			.toList();
		List<Candidate> available = staying.stream()
			.filter((each) -> each.load().availability().acceptsRequests(nowNanos))
			.toList();
		if (available.isEmpty() && !staying.isEmpty()) {
			return new PlacementResult.TargetsResting(minRestMs(staying, nowNanos));
		}
		List<Candidate> reachable = reachable(available, nowNanos);
		if (reachable.isEmpty() && !available.isEmpty()) {
			return new PlacementResult.TargetsBusy(
					available.stream().mapToDouble((each) -> each.load().linkDelayMs(nowNanos)).min().orElse(0));
		}
		List<Candidate> candidates = withoutLag(reachable, nowNanos);
		double freeSlotRatio = freeSlotRatio(candidates, estimate, nowNanos);
		if (freeSlotRatio < 1 && this.random.nextDouble() >= freeSlotRatio) {
			return new PlacementResult.TargetsBusy(minWaitMs(candidates, estimate, nowNanos));
		}
		List<Candidate> confirmed = withoutUnconfirmed(candidates);
		PlacementResult result = best(confirmed, estimate, coldRatePerSecond, senders, nowNanos);
		boolean someUnconfirmed = confirmed.size() < candidates.size();
		return (someUnconfirmed && !(result instanceof PlacementResult.TargetChosen))
				? best(candidates, estimate, coldRatePerSecond, senders, nowNanos) : result;
	}

	private static long minRestMs(List<Candidate> resting, long nowNanos) {
		return resting.stream().mapToLong((each) -> each.load().availability().restLeftMs(nowNanos)).min().orElse(0);
	}

	private static List<Candidate> reachable(List<Candidate> all, long nowNanos) {
		List<Candidate> preferred = withinLinkDelay(all, MAX_PREFERRED_LINK_DELAY_MS, nowNanos);
		return (preferred.isEmpty()) ? withinLinkDelay(all, MAX_LINK_DELAY_MS, nowNanos) : preferred;
	}

	private static List<Candidate> withinLinkDelay(List<Candidate> all, double maxDelayMs, long nowNanos) {
		return all.stream().filter((candidate) -> candidate.load().linkDelayMs(nowNanos) <= maxDelayMs).toList();
	}

	// A request sent to a lagging target may arrive after its caller has left. When all
	// candidates lag, this process itself was paused and none of them is removed.
	private static List<Candidate> withoutLag(List<Candidate> all, long nowNanos) {
		List<Candidate> responsive = new ArrayList<>(all);
		responsive.removeIf((candidate) -> candidate.load().lagMs(nowNanos) > MAX_LAG_MS
				|| candidate.load().unconfirmedMs(nowNanos) > MAX_UNCONFIRMED_MS
				|| candidate.load().othersLateMs(nowNanos) > MAX_UNCONFIRMED_MS);
		return (responsive.isEmpty()) ? all : responsive;
	}

	// Requests queued on the link to a target can't be withdrawn, and every other process
	// may send as many. A target that has not confirmed the receipt of a request gets no
	// further one while another target has a free slot.
	private static List<Candidate> withoutUnconfirmed(List<Candidate> all) {
		return all.stream().filter((candidate) -> candidate.load().unconfirmed() == 0).toList();
	}

	// Ratio of free slots to the requests that all processes send until the next load
	// report. All processes see the same free slots until then. If the ratio is below 1,
	// each process sends only this part of its requests, because excess requests delay
	// all requests behind them.
	private static double freeSlotRatio(List<Candidate> candidates, RequestEstimate estimate, long nowNanos) {
		double freeSlots = 0;
		double limitedPerSecond = 0;
		boolean anyAccepting = false;
		for (Candidate candidate : candidates) {
			if (candidate.load().avoided(nowNanos) || candidate.load().notAccepting(nowNanos)) {
				continue;
			}
			// Permits keep the sum of all processes, so that nothing is left to chance.
			if (candidate.limited()) {
				limitedPerSecond += candidate.load().availability().limit().ratePerSecond();
				continue;
			}
			anyAccepting = true;
			double slots = candidate.target().slots();
			double endingRequests = slots * REPORT_DELAY_MS / Math.max(1, estimate.occupancyMs());
			freeSlots += Math.max(0,
					slots + SPARE_REQUESTS - candidate.load().estimatedRequests(nowNanos) + endingRequests);
		}
		double competingRequests = (estimate.requestsPerSecond() - limitedPerSecond) * REPORT_DELAY_MS
				/ TimeUnit.SECONDS.toMillis(1);
		return (!anyAccepting || competingRequests <= 0) ? 1 : freeSlots / competingRequests;
	}

	private double minWaitMs(List<Candidate> candidates, RequestEstimate estimate, long nowNanos) {
		return candidates.stream().mapToDouble((candidate) -> waitMs(candidate, estimate, nowNanos)).min().orElse(0);
	}

	private PlacementResult best(List<Candidate> candidates, RequestEstimate estimate, double coldRatePerSecond,
			int senders, long nowNanos) {
		@Nullable Candidate best = null;
		double bestScore = Double.MAX_VALUE;
		double bestFirstByteMs = 0;
		double minWaitMs = Double.MAX_VALUE;
		double minPermitWaitMs = Double.MAX_VALUE;
		boolean coldRateExceeded = false;
		for (Candidate candidate : candidates) {
			if (candidate.cold() && coldRatePerSecond > 0
					&& !candidate.load().coldRateLimiter().allows(coldRatePerSecond, senders, nowNanos)) {
				coldRateExceeded = true;
				continue;
			}
			double permitWaitMs = candidate.load().permitWaitMs(nowNanos);
			if (permitWaitMs > 0 && permitWaitMs > estimate.maxPermitWaitMs(0)) {
				minPermitWaitMs = Math.min(minPermitWaitMs, permitWaitMs);
				continue;
			}
			double waitMs = waitMs(candidate, estimate, nowNanos) + permitWaitMs;
			double firstByteMs = waitMs + estimate.firstByteMs() * candidate.load().slowness(nowNanos)
					+ Math.max(candidate.load().lagMs(nowNanos), candidate.load().linkDelayMs(nowNanos));
			minWaitMs = Math.min(minWaitMs, waitMs);
			boolean hasFreeSlot = candidate.load().estimatedRequests(nowNanos) < candidate.target().slots()
					+ SPARE_REQUESTS;
			if (!hasFreeSlot && firstByteMs > estimate.objectiveLeftMs() * RequestEstimate.MAX_OBJECTIVE_RATIO) {
				continue;
			}
			// The noise amounts to about one request at the target, by which processes
			// with the same load reports differ.
			double noiseMs = Math.max(this.settings.noiseMs(),
					estimate.occupancyMs() / Math.max(1, candidate.target().slots()));
			double score = firstByteMs + penaltyMs(candidate, noiseMs, nowNanos);
			if (score < bestScore) {
				bestScore = score;
				best = candidate;
				bestFirstByteMs = firstByteMs;
			}
		}
		if (best == null) {
			if (minPermitWaitMs != Double.MAX_VALUE && minWaitMs == Double.MAX_VALUE) {
				return new PlacementResult.LimitsReached(minPermitWaitMs);
			}
			if (minWaitMs == Double.MAX_VALUE && !coldRateExceeded) {
				return new PlacementResult.NoTarget();
			}
			return new PlacementResult.TargetsBusy(
					(minWaitMs == Double.MAX_VALUE) ? senders * 1_000 / coldRatePerSecond : minWaitMs);
		}
		if (best.cold() && coldRatePerSecond > 0) {
			best.load().coldRateLimiter().tryAcquire(coldRatePerSecond, senders, nowNanos);
		}
		return new PlacementResult.TargetChosen(best, bestFirstByteMs);
	}

	private double waitMs(Candidate candidate, RequestEstimate estimate, long nowNanos) {
		int slots = Math.max(1, candidate.target().slots());
		double requestsAhead = candidate.load().estimatedRequests(nowNanos) - slots * BUSY_RATIO + 1;
		return Math.max(0, requestsAhead) * estimate.occupancyMs() / slots;
	}

	private double penaltyMs(Candidate candidate, double noiseMs, long nowNanos) {
		TargetLoad load = candidate.load();
		double penaltyMs = load.estimatedRequests(nowNanos) / Math.max(1, candidate.target().slots())
				* this.settings.fullTargetMs() + load.failureRatio(nowNanos) * this.settings.failureMs()
				+ this.random.nextDouble() * noiseMs;
		if (!candidate.sameDomain()) {
			penaltyMs += (candidate.sameRegion()) ? this.settings.otherDomainMs() : this.settings.otherRegionMs();
		}
		if (load.avoided(nowNanos) || load.notAccepting(nowNanos)) {
			penaltyMs += this.settings.avoidedMs();
		}
		return (candidate.cold()) ? penaltyMs + this.settings.coldMs() : penaltyMs;
	}

}
