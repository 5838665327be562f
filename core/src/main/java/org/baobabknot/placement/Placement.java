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
	private static final double OBJECTIVE_SHARE = 0.85;

	/**
	 * Requests beyond the slots that a target always takes, to have work when one ends.
	 */
	private static final double SPARE_REQUESTS = 1;

	/**
	 * Lag above which a target gets nothing while others don't lag, in ms. Callers leave
	 * a stream after two seconds without an event.
	 */
	private static final double MOST_LAG_MS = 800;

	/**
	 * Delay of a target's link above which it gets nothing while others have a shorter
	 * one, in ms.
	 */
	private static final double MOST_LINK_DELAY_MS = 250;

	/**
	 * Delay of a target's link above which a request is refused, in ms: it may outlive
	 * its caller by half a second, and a caller may leave as soon as it is sent.
	 */
	private static final double HOPELESS_LINK_DELAY_MS = 500;

	/**
	 * Time beyond the predicted one after which a single request without a sign of
	 * receipt does so, in ms.
	 */
	private static final double MOST_UNCONFIRMED_MS = 150;

	/**
	 * Time for which the requests of other processes at a target are not seen, in ms: the
	 * loaders look at their engines every 150 ms and tell changes of two requests.
	 */
	static final double UNSEEN_MS = 120;

	/** Share of a target's slots below which its requests don't wait for each other. */
	private static final double BUSY_SHARE = 1;

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
	 * @param work what the request asks
	 * @param coldRatePerSecond requests that a cold target bears in a second, 0 for no
	 * limit
	 * @param senders processes that share the rate
	 * @param nowNanos monotonic time
	 * @return the target, or why there is none
	 */
	public PlacementResult choose(List<Candidate> all, Work work, double coldRatePerSecond, int senders,
			long nowNanos) {
		List<Candidate> reachable = reachable(all, nowNanos);
		if (reachable.isEmpty() && !all.isEmpty()) {
			return new PlacementResult.Busy(
					all.stream().mapToDouble((candidate) -> candidate.load().linkDelayMs(nowNanos)).min().orElse(0));
		}
		List<Candidate> candidates = prompt(reachable, nowNanos);
		double share = placesShare(candidates, work, nowNanos);
		if (share < 1 && this.random.nextDouble() >= share) {
			return new PlacementResult.Busy(leastWaitMs(candidates, work, nowNanos));
		}
		List<Candidate> confirmed = confirmed(candidates);
		PlacementResult result = best(confirmed, work, coldRatePerSecond, senders, nowNanos);
		boolean more = confirmed.size() < candidates.size();
		return (more && !(result instanceof PlacementResult.Chosen))
				? best(candidates, work, coldRatePerSecond, senders, nowNanos) : result;
	}

	private static List<Candidate> reachable(List<Candidate> all, long nowNanos) {
		List<Candidate> near = within(all, MOST_LINK_DELAY_MS, nowNanos);
		return (near.isEmpty()) ? within(all, HOPELESS_LINK_DELAY_MS, nowNanos) : near;
	}

	private static List<Candidate> within(List<Candidate> all, double delayMs, long nowNanos) {
		return all.stream().filter((candidate) -> candidate.load().linkDelayMs(nowNanos) <= delayMs).toList();
	}

	// What is sent over a link that lags may arrive after its caller has left. When all
	// lag it is this process that stood still.
	private static List<Candidate> prompt(List<Candidate> all, long nowNanos) {
		List<Candidate> prompt = new ArrayList<>(all);
		prompt.removeIf((candidate) -> candidate.load().lagMs(nowNanos) > MOST_LAG_MS
				|| candidate.load().unconfirmedMs(nowNanos) > MOST_UNCONFIRMED_MS
				|| candidate.load().othersLateMs(nowNanos) > MOST_UNCONFIRMED_MS);
		return (prompt.isEmpty()) ? all : prompt;
	}

	// What is queued on the way to a target can't be taken back, and all other processes
	// send as much: one that has not shown yet that it received a request gets no further
	// one while another has room.
	private static List<Candidate> confirmed(List<Candidate> all) {
		return all.stream().filter((candidate) -> candidate.load().unconfirmed() == 0).toList();
	}

	// All processes see the same free places until the next report. When more requests
	// compete for them than there are places, each process takes its part only, because
	// what arrives beyond them makes all that follow late.
	private static double placesShare(List<Candidate> candidates, Work work, long nowNanos) {
		double places = 0;
		boolean open = false;
		for (Candidate candidate : candidates) {
			if (candidate.load().avoided(nowNanos) || candidate.load().closed(nowNanos)) {
				continue;
			}
			open = true;
			double slots = candidate.target().slots();
			double ending = slots * UNSEEN_MS / Math.max(1, work.occupancyMs());
			places += Math.max(0, slots + SPARE_REQUESTS - candidate.load().total(nowNanos) + ending);
		}
		double competing = work.requestsPerSecond() * UNSEEN_MS / TimeUnit.SECONDS.toMillis(1);
		return (!open || competing <= 0) ? 1 : places / competing;
	}

	private double leastWaitMs(List<Candidate> candidates, Work work, long nowNanos) {
		return candidates.stream().mapToDouble((candidate) -> waitMs(candidate, work, nowNanos)).min().orElse(0);
	}

	private PlacementResult best(List<Candidate> candidates, Work work, double coldRatePerSecond, int senders,
			long nowNanos) {
		@Nullable Candidate best = null;
		double bestScore = Double.MAX_VALUE;
		double bestMs = 0;
		double leastWait = Double.MAX_VALUE;
		boolean coldOnly = false;
		for (Candidate candidate : candidates) {
			if (candidate.cold() && coldRatePerSecond > 0
					&& !candidate.load().coldRate().allows(coldRatePerSecond, senders, nowNanos)) {
				coldOnly = true;
				continue;
			}
			double wait = waitMs(candidate, work, nowNanos);
			double first = wait + work.firstMs() * candidate.load().slowness(nowNanos)
					+ Math.max(candidate.load().lagMs(nowNanos), candidate.load().linkDelayMs(nowNanos));
			leastWait = Math.min(leastWait, wait);
			boolean room = candidate.load().total(nowNanos) < candidate.target().slots() + SPARE_REQUESTS;
			if (!room && first > work.objectiveMs() * OBJECTIVE_SHARE) {
				continue;
			}
			// Processes that know the same differ by about one request at a target.
			double noise = Math.max(this.settings.noiseMs(),
					work.occupancyMs() / Math.max(1, candidate.target().slots()));
			double score = first + price(candidate, noise, nowNanos);
			if (score < bestScore) {
				bestScore = score;
				best = candidate;
				bestMs = first;
			}
		}
		if (best == null) {
			if (leastWait == Double.MAX_VALUE && !coldOnly) {
				return new PlacementResult.NoTarget();
			}
			return new PlacementResult.Busy(
					(leastWait == Double.MAX_VALUE) ? senders * 1_000 / coldRatePerSecond : leastWait);
		}
		if (best.cold() && coldRatePerSecond > 0) {
			best.load().coldRate().tryTake(coldRatePerSecond, senders, nowNanos);
		}
		return new PlacementResult.Chosen(best, bestMs);
	}

	private double waitMs(Candidate candidate, Work work, long nowNanos) {
		int slots = Math.max(1, candidate.target().slots());
		double ahead = candidate.load().total(nowNanos) - slots * BUSY_SHARE + 1;
		return Math.max(0, ahead) * work.occupancyMs() / slots;
	}

	private double price(Candidate candidate, double noiseMs, long nowNanos) {
		TargetLoad load = candidate.load();
		double price = load.total(nowNanos) / Math.max(1, candidate.target().slots()) * this.settings.balanceMs()
				+ load.failures(nowNanos) * this.settings.failureMs() + this.random.nextDouble() * noiseMs;
		if (!candidate.sameDomain()) {
			price += (candidate.sameRegion()) ? this.settings.otherDomainMs() : this.settings.otherRegionMs();
		}
		if (load.avoided(nowNanos) || load.closed(nowNanos)) {
			price += this.settings.avoidedMs();
		}
		return (candidate.cold()) ? price + this.settings.coldMs() : price;
	}

}
