package org.baobabknot.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;

/**
 * Chooses the target with the least predicted time to the first byte, corrected by what
 * its recent answers show. Answers the load of a fleet whose engines run near their
 * limit: a request is refused at once where its answer would be late, because every
 * request that waits makes the ones behind it late too.
 */
public final class Placement {

	/** Part of the objective that may pass until the first byte. */
	private static final double MAX_OBJECTIVE_RATIO = 0.85;

	/**
	 * Requests beyond the slots that a target always takes, to have work when one ends.
	 */
	private static final double SPARE_REQUESTS = 1;

	/**
	 * Lag above which a target gets nothing while others don't lag, in ms. Callers leave
	 * a stream after two seconds without an event.
	 */
	private static final double MAX_LAG_MS = 800;

	/**
	 * Delay of a target's link above which it gets nothing while others have a shorter
	 * one, in ms.
	 */
	private static final double MAX_PREFERRED_LINK_DELAY_MS = 250;

	/**
	 * Delay of a target's link above which a request is refused, in ms: it may outlive
	 * its caller by half a second, and a caller may leave as soon as it is sent.
	 */
	private static final double MAX_LINK_DELAY_MS = 500;

	/**
	 * Time beyond the predicted one after which a single request without a sign of
	 * receipt does so, in ms.
	 */
	private static final double MAX_UNCONFIRMED_MS = 150;

	/**
	 * Time for which the requests of other processes at a target are not seen, in ms: the
	 * loaders look at their engines every 150 ms and tell changes of two requests.
	 */
	static final double REPORT_DELAY_MS = 120;

	/** Share of a target's slots below which its requests don't wait for each other. */
	private static final double BUSY_RATIO = 1;

	private final PlacementSettings settings;

	private final RandomGenerator random;

	/**
	 * Creates a placement.
	 * @param settings weights
	 * @param random source of the noise
	 */
	public Placement(PlacementSettings settings, RandomGenerator random) {
		this.settings = settings;
		this.random = random;
	}

	/**
	 * Chooses a target.
	 * @param all targets that may get the request
	 * @param estimate what the request asks
	 * @param coldRatePerSecond requests that a cold target bears in a second, 0 for no
	 * limit
	 * @param senders processes that share the rate
	 * @param nowNanos monotonic time
	 * @return the target, or why there is none
	 */
	public PlacementResult choose(List<Candidate> all, RequestEstimate estimate, double coldRatePerSecond, int senders,
			long nowNanos) {
		List<Candidate> reachable = reachable(all, nowNanos);
		if (reachable.isEmpty() && !all.isEmpty()) {
			return new PlacementResult.TargetsBusy(
					all.stream().mapToDouble((candidate) -> candidate.load().linkDelayMs(nowNanos)).min().orElse(0));
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

	private static List<Candidate> reachable(List<Candidate> all, long nowNanos) {
		List<Candidate> preferred = withinLinkDelay(all, MAX_PREFERRED_LINK_DELAY_MS, nowNanos);
		return (preferred.isEmpty()) ? withinLinkDelay(all, MAX_LINK_DELAY_MS, nowNanos) : preferred;
	}

	private static List<Candidate> withinLinkDelay(List<Candidate> all, double maxDelayMs, long nowNanos) {
		return all.stream().filter((candidate) -> candidate.load().linkDelayMs(nowNanos) <= maxDelayMs).toList();
	}

	// What is sent over a link that lags may arrive after its caller has left. When all
	// lag it is this process that stood still.
	private static List<Candidate> withoutLag(List<Candidate> all, long nowNanos) {
		List<Candidate> responsive = new ArrayList<>(all);
		responsive.removeIf((candidate) -> candidate.load().lagMs(nowNanos) > MAX_LAG_MS
				|| candidate.load().unconfirmedMs(nowNanos) > MAX_UNCONFIRMED_MS
				|| candidate.load().othersLateMs(nowNanos) > MAX_UNCONFIRMED_MS);
		return (responsive.isEmpty()) ? all : responsive;
	}

	// What is queued on the way to a target can't be taken back, and all other processes
	// send as much: one that has not shown yet that it received a request gets no further
	// one while another has room.
	private static List<Candidate> withoutUnconfirmed(List<Candidate> all) {
		return all.stream().filter((candidate) -> candidate.load().unconfirmed() == 0).toList();
	}

	// All processes see the same free places until the next report. When more requests
	// compete for them than there are places, each process takes its part only, because
	// what arrives beyond them makes all that follow late.
	private static double freeSlotRatio(List<Candidate> candidates, RequestEstimate estimate, long nowNanos) {
		double freeSlots = 0;
		boolean anyAccepting = false;
		for (Candidate candidate : candidates) {
			if (candidate.load().avoided(nowNanos) || candidate.load().notAccepting(nowNanos)) {
				continue;
			}
			anyAccepting = true;
			double slots = candidate.target().slots();
			double endingRequests = slots * REPORT_DELAY_MS / Math.max(1, estimate.occupancyMs());
			freeSlots += Math.max(0,
					slots + SPARE_REQUESTS - candidate.load().estimatedRequests(nowNanos) + endingRequests);
		}
		double competingRequests = estimate.requestsPerSecond() * REPORT_DELAY_MS / TimeUnit.SECONDS.toMillis(1);
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
		boolean coldRateExceeded = false;
		for (Candidate candidate : candidates) {
			if (candidate.cold() && coldRatePerSecond > 0
					&& !candidate.load().coldRateLimiter().allows(coldRatePerSecond, senders, nowNanos)) {
				coldRateExceeded = true;
				continue;
			}
			double waitMs = waitMs(candidate, estimate, nowNanos);
			double firstByteMs = waitMs + estimate.firstByteMs() * candidate.load().slowness(nowNanos)
					+ Math.max(candidate.load().lagMs(nowNanos), candidate.load().linkDelayMs(nowNanos));
			minWaitMs = Math.min(minWaitMs, waitMs);
			boolean hasFreeSlot = candidate.load().estimatedRequests(nowNanos) < candidate.target().slots()
					+ SPARE_REQUESTS;
			if (!hasFreeSlot && firstByteMs > estimate.objectiveLeftMs() * MAX_OBJECTIVE_RATIO) {
				continue;
			}
			// Processes that know the same differ by about one request at a target.
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
