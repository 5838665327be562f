package org.baobabknot.experiment;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;

import org.baobabknot.experiment.Violations.Guarantee;

/**
 * Checks that accepted configurations are in force everywhere in time and never revert.
 */
final class RevisionChecks {

	/**
	 * Bounds of section 2.1, and 1.5 s for a busy machine and the time between two
	 * questions.
	 */
	private static final long IN_FORCE_MILLIS = 2_000 + 1_500;

	private static final long IN_FORCE_STORE_DOWN_MILLIS = 8_000 + 1_500;

	private final FaultHistory history;

	private final UnaryOperator<String> domainOf;

	private final Violations violations;

	RevisionChecks(FaultHistory history, UnaryOperator<String> domainOf, Violations violations) {
		this.history = history;
		this.domainOf = domainOf;
		this.violations = violations;
	}

	void checkAll(List<FaultRules.Accepted> accepted, List<RevisionWatch.Seen> seen, long bothAccepted) {
		if (bothAccepted > 0) {
			this.violations.add(Guarantee.CONFIGURATION, "two operators own the same revision: " + bothAccepted);
		}
		reverts(seen);
		for (RevisionWatch.Seen sample : seen) {
			for (FaultRules.Accepted change : accepted) {
				if (sample.revision() < change.revision() && sample.askedMillis() > bound(change, sample)) {
					this.violations.add(Guarantee.CONFIGURATION, sample + " is behind " + change);
					break;
				}
			}
		}
	}

	private long bound(FaultRules.Accepted change, RevisionWatch.Seen sample) {
		String instance = sample.instance();
		boolean store = this.history.overlaps(FaultKind::isStoreFault, Set.of(), change.atMillis() - 1_000,
				change.atMillis() + IN_FORCE_MILLIS);
		long time = store ? IN_FORCE_STORE_DOWN_MILLIS : IN_FORCE_MILLIS;
		long reachable = this.history.lastEnd((kind) -> kind.isLinkFault() || kind.isProcessFault(),
				Set.of(instance, this.domainOf.apply(instance)), change.atMillis(), sample.askedMillis());
		boolean disturbed = reachable > change.atMillis();
		return disturbed ? reachable + IN_FORCE_STORE_DOWN_MILLIS : change.atMillis() + time;
	}

	private void reverts(List<RevisionWatch.Seen> seen) {
		Map<String, RevisionWatch.Seen> highest = new HashMap<>();
		for (RevisionWatch.Seen sample : seen) {
			RevisionWatch.Seen before = highest.get(sample.instance() + sample.pid());
			if (before != null && before.answeredMillis() <= sample.askedMillis()
					&& before.revision() > sample.revision()) {
				this.violations.add(Guarantee.CONFIGURATION, sample + " reverted from " + before);
			}
			if (before == null || before.revision() < sample.revision()) {
				highest.put(sample.instance() + sample.pid(), sample);
			}
		}
	}

}
