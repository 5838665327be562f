package org.baobabknot.experiment;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;

import org.baobabknot.experiment.Violations.Guarantee;

/**
 * Checks that every accepted configuration comes into force in all processes in time and
 * is never reverted.
 */
final class RevisionChecks {

	/**
	 * Bound from section 2.1 of the design page, plus 1.5 s for a busy machine and the
	 * polling interval. The other bound applies while the store is down.
	 */
	private static final long MAX_DELAY_MS = 2_000 + 1_500;

	private static final long MAX_DELAY_STORE_DOWN_MS = 8_000 + 1_500;

	private final FaultHistory history;

	private final UnaryOperator<String> domainOf;

	private final Violations violations;

	RevisionChecks(FaultHistory history, UnaryOperator<String> domainOf, Violations violations) {
		this.history = history;
		this.domainOf = domainOf;
		this.violations = violations;
	}

	void checkAll(List<FaultRules.Accepted> accepted, List<RevisionMonitor.Observation> observations,
			long doublyAcceptedCount) {
		if (doublyAcceptedCount > 0) {
			this.violations.add(Guarantee.CONFIGURATION, "two operators own the same revision: " + doublyAcceptedCount);
		}
		checkNoReversion(observations);
		for (RevisionMonitor.Observation observation : observations) {
			for (FaultRules.Accepted change : accepted) {
				if (observation.revision() < change.revision()
						&& observation.requestedMs() > inForceDeadlineMs(change, observation)) {
					this.violations.add(Guarantee.CONFIGURATION, observation + " is behind " + change);
					break;
				}
			}
		}
	}

	private long inForceDeadlineMs(FaultRules.Accepted change, RevisionMonitor.Observation observation) {
		String instance = observation.instance();
		boolean storeDisturbed = this.history.overlaps(FaultKind::isStoreFault, Set.of(), change.atMillis() - 1_000,
				change.atMillis() + MAX_DELAY_MS);
		long maxDelayMs = storeDisturbed ? MAX_DELAY_STORE_DOWN_MS : MAX_DELAY_MS;
		long reachableMs = this.history.lastEnd((kind) -> kind.isLinkFault() || kind.isProcessFault(),
				Set.of(instance, this.domainOf.apply(instance)), change.atMillis(), observation.requestedMs());
		boolean disturbed = reachableMs > change.atMillis();
		return disturbed ? reachableMs + MAX_DELAY_STORE_DOWN_MS : change.atMillis() + maxDelayMs;
	}

	private void checkNoReversion(List<RevisionMonitor.Observation> observations) {
		Map<String, RevisionMonitor.Observation> highest = new HashMap<>();
		for (RevisionMonitor.Observation observation : observations) {
			RevisionMonitor.Observation previous = highest.get(observation.instance() + observation.pid());
			if (previous != null && previous.receivedMs() <= observation.requestedMs()
					&& previous.revision() > observation.revision()) {
				this.violations.add(Guarantee.CONFIGURATION, observation + " reverted from " + previous);
			}
			if (previous == null || previous.revision() < observation.revision()) {
				highest.put(observation.instance() + observation.pid(), observation);
			}
		}
	}

}
