package org.baobabknot.gateway;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.baobabknot.attempt.AttemptLimits;
import org.baobabknot.fleet.TargetRecord;
import org.baobabknot.placement.PlacementResult;
import org.baobabknot.placement.RequestEstimate;
import org.baobabknot.placement.TrialPlacement;
import org.baobabknot.provider.CallerRequestHead;

/**
 * Chooses the targets of one admitted request, within the limits of its attempts.
 * Confined to one event loop.
 */
final class AttemptPlacement {

	private static final long NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

	private final Gateway gateway;

	private final CallerRequestHead head;

	private final RequestAdmission.Admitted admitted;

	private final RequestScreening screening;

	private final AttemptLimits limits;

	private final long arrivedNanos;

	private final long deadlineNanos;

	AttemptPlacement(Gateway gateway, CallerRequestHead head, RequestAdmission.Admitted admitted,
			RequestScreening screening, AttemptLimits limits, long arrivedNanos, long deadlineNanos) {
		this.gateway = gateway;
		this.head = head;
		this.admitted = admitted;
		this.screening = screening;
		this.limits = limits;
		this.arrivedNanos = arrivedNanos;
		this.deadlineNanos = deadlineNanos;
	}

	/**
	 * Chooses a further target or, where none may or can be asked, one that was left.
	 * @param mayHaveRun whether the request may have run
	 * @param now monotonic time
	 * @return the target, or the reason why there is none
	 */
	PlacementResult choose(boolean mayHaveRun, long now) {
		int maxTargets = this.admitted.route().maxAttempts();
		PlacementResult further = (this.limits.allowsFurtherTarget(maxTargets))
				? choose(this.limits.tried(), mayHaveRun, now) : new PlacementResult.NoTarget();
		if (further instanceof PlacementResult.TargetChosen || !this.limits.allowsReturn(maxTargets)) {
			return further;
		}
		PlacementResult left = choose(targetsNotLeft(), mayHaveRun, now);
		return (left instanceof PlacementResult.NoTarget) ? further : left;
	}

	private PlacementResult choose(Set<String> excluded, boolean mayHaveRun, long now) {
		return this.gateway.selection().choose(query(excluded, mayHaveRun), estimate(mayHaveRun, now));
	}

	/**
	 * Tells whether the request may still be sent to a target that was chosen for it.
	 * @param target the target
	 * @param mayHaveRun whether the request may have run
	 * @param now monotonic time
	 * @return whether it may
	 */
	boolean allows(TargetRecord target, boolean mayHaveRun, long now) {
		return this.gateway.selection().allows(query(Set.of(), mayHaveRun), target, now);
	}

	/**
	 * Returns how long the request can wait for a permit.
	 * @param mayHaveRun whether the request may have run
	 * @param now monotonic time
	 * @return time in ms
	 */
	double maxPermitWaitMs(boolean mayHaveRun, long now) {
		return estimate(mayHaveRun, now).maxPermitWaitMs(this.admitted.urgency());
	}

	private Set<String> targetsNotLeft() {
		return this.gateway.view()
			.targets(this.admitted.service().name())
			.stream()
			.map(TargetRecord::id)
			.filter((id) -> !this.limits.left().contains(id))
			.collect(Collectors.toSet());
	}

	private TargetSelection.Query query(Set<String> tried, boolean mayHaveRun) {
		Set<String> excluded = new HashSet<>(tried);
		excluded.addAll(this.limits.limited());
		return new TargetSelection.Query(this.admitted.service(), this.head.model(), this.admitted.regions(), excluded,
				this.limits.allowsLimitedTargets(), trialPlacement(mayHaveRun), this.screening.suspectedContents());
	}

	private TrialPlacement trialPlacement(boolean mayHaveRun) {
		if (this.screening.onTrial()) {
			return (mayHaveRun) ? TrialPlacement.SPREAD : TrialPlacement.LEAST_WORK;
		}
		return (mayHaveRun) ? TrialPlacement.APART : TrialPlacement.NONE;
	}

	// A request that may have run, or was tried before, is not refused because the
	// targets have no free slots, so competing requests are not counted.
	private RequestEstimate estimate(boolean mayHaveRun, long now) {
		double objectiveLeftMs = SilencePolicy.objectiveMs(this.admitted.route())
				- (now - this.arrivedNanos) / (double) NANOS_PER_MS;
		boolean refusable = this.limits.isUntried() && !mayHaveRun;
		return this.gateway.traffic()
			.estimate(this.head, this.admitted.service(), objectiveLeftMs, (this.deadlineNanos - now) / NANOS_PER_MS,
					refusable, now);
	}

}
