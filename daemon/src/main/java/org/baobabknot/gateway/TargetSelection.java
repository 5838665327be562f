package org.baobabknot.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.baobabknot.fleet.FleetView;
import org.baobabknot.fleet.HeldVersion;
import org.baobabknot.fleet.ModelLayout;
import org.baobabknot.fleet.ServiceDefinition;
import org.baobabknot.fleet.TargetRecord;
import org.baobabknot.placement.Candidate;
import org.baobabknot.placement.ColdSenders;
import org.baobabknot.placement.Placement;
import org.baobabknot.placement.PlacementResult;
import org.baobabknot.placement.RequestEstimate;
import org.baobabknot.placement.TrialPlacement;
import org.baobabknot.settings.FleetSettings;

/**
 * Chooses targets among those that the fleet's state and the bounds of the operators
 * allow.
 */
final class TargetSelection {

	private static final long NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

	/**
	 * Time before the deadline for a new version at which older versions get no more
	 * requests: the time to first byte of a busy target.
	 */
	private static final long VERSION_MARGIN_MS = 400;

	private final FleetSettings settings;

	private final FleetView view;

	private final TargetPool targetPool;

	private final Placement placement;

	TargetSelection(FleetSettings settings, FleetView view, TargetPool targetPool, Placement placement) {
		this.settings = settings;
		this.view = view;
		this.targetPool = targetPool;
		this.placement = placement;
	}

	/**
	 * Chooses a target for a request.
	 * @param query what the request needs
	 * @param work cost and time limits of the request
	 * @return the target, or the reason why there is none
	 */
	PlacementResult choose(Query query, RequestEstimate work) {
		long now = System.nanoTime();
		ServiceDefinition service = query.service();
		FleetSettings.Bounds bounds = this.settings.bounds();
		int maxColdSenders = ColdSenders.maxSenders(service.coldRatePerSecond(), bounds.coldOvershoot(),
				bounds.coldSlack());
		List<Candidate> candidates = candidates(query, maxColdSenders, now);
		int senders = Math.min(maxColdSenders, this.view.limitDivisor());
		List<Candidate> preferred = query.trial().preferred(candidates, query.suspectedContents(), now);
		if (!preferred.isEmpty()) {
			PlacementResult result = this.placement.choose(preferred, work, service.coldRatePerSecond(), senders, now);
			if (result instanceof PlacementResult.TargetChosen) {
				return result;
			}
		}
		return this.placement.choose(candidates, work, service.coldRatePerSecond(), senders, now);
	}

	/**
	 * Tells whether a request may still be sent to a target that was chosen for it.
	 * @param query what the request needs
	 * @param target the target
	 * @param now monotonic time
	 * @return whether it may
	 */
	boolean allows(Query query, TargetRecord target, long now) {
		FleetSettings.Bounds bounds = this.settings.bounds();
		int maxColdSenders = ColdSenders.maxSenders(query.service().coldRatePerSecond(), bounds.coldOvershoot(),
				bounds.coldSlack());
		return candidates(query, maxColdSenders, now).stream()
			.anyMatch((candidate) -> candidate.target().id().equals(target.id())
					&& candidate.target().startedMs() == target.startedMs()
					&& candidate.load().availability().acceptsRequests(now));
	}

	private List<Candidate> candidates(Query query, int maxColdSenders, long now) {
		ServiceDefinition service = query.service();
		List<Candidate> candidates = new ArrayList<>();
		for (TargetRecord target : this.view.targets(service.name())) {
			String region = this.view.region(target.domain());
			if (target.leaving() || query.tried().contains(target.id())
					|| this.view.domainsOut().contains(target.domain())
					|| (!query.allowedRegions().isEmpty() && !query.allowedRegions().contains(region))) {
				continue;
			}
			PooledTarget pooledTarget = this.targetPool.pooledTarget(target);
			if (pooledTarget.limitedTarget().limit().limited() && !query.limitedAllowed()) {
				continue;
			}
			ModelLayout layout = service.modelLayout();
			if (layout != null && !query.model().isEmpty()
					&& !hasRequiredVersion(target, layout, pooledTarget, query.model(), now)) {
				continue;
			}
			boolean cold = service.coldRatePerSecond() > 0 && this.view.coldLeftMs(target, now) > 0;
			if (cold && !ColdSenders.isSender(target.id(), this.settings.instance(), this.view.knownInstances(),
					maxColdSenders)) {
				continue;
			}
			candidates.add(new Candidate(target, pooledTarget.load(), cold,
					target.domain().equals(this.settings.failureDomain()), region.equals(this.settings.region())));
		}
		return candidates;
	}

	private boolean hasRequiredVersion(TargetRecord target, ModelLayout layout, PooledTarget pooledTarget, String model,
			long now) {
		Optional<HeldVersion> holding = target.holding(model);
		return holding.isPresent() && holding.get().isComplete(layout.layers())
				&& Math.max(holding.get().version(), pooledTarget.load().version()) >= requiredVersion(model,
						now + (long) (pooledTarget.load().lagMs(now) * NANOS_PER_MS));
	}

	/**
	 * Tells whether a target runs a version that is no longer allowed, so that requests
	 * must not start there any more.
	 * @param attempt attempt at the target
	 * @param model requested model, empty for none
	 * @param now monotonic time
	 * @return whether the version is too old
	 */
	boolean runsOutdatedVersion(TargetAttempt attempt, String model, long now) {
		if (model.isEmpty()) {
			return false;
		}
		long listedVersion = this.view.target(attempt.target().id())
			.map((target) -> heldVersion(target, model))
			.orElse(0L);
		// The entry may be missing or old, and a start runs no older version again.
		long knownVersion = Math.max(heldVersion(attempt.target(), model), attempt.load().version());
		return Math.max(listedVersion, knownVersion) < requiredVersion(model, now);
	}

	private static long heldVersion(TargetRecord target, String model) {
		return target.holding(model).map(HeldVersion::version).orElse(0L);
	}

	private long requiredVersion(String model, long now) {
		return this.view.requiredVersion(model, now,
				(this.settings.bounds().versionMs() - VERSION_MARGIN_MS) * NANOS_PER_MS);
	}

	/**
	 * What a request needs of a target.
	 *
	 * @param service service of the request
	 * @param model requested model, empty for none
	 * @param allowedRegions regions that may serve the request, empty for all
	 * @param tried identities of targets to which it was sent before
	 * @param limitedAllowed whether it may go to targets that state a limit
	 * @param trial which targets are preferred because of suspected requests
	 * @param suspectedContents hashes of what these contain
	 */
	record Query(ServiceDefinition service, String model, Set<String> allowedRegions, Set<String> tried,
			boolean limitedAllowed, TrialPlacement trial, Collection<Long> suspectedContents) {
	}

}
