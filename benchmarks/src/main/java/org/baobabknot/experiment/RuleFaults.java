package org.baobabknot.experiment;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.baobabknot.experiment.FaultKind.ActiveFault;

/**
 * Injects configuration changes by one operator and by two concurrent operators.
 */
final class RuleFaults {

	/**
	 * Time after which a new model is replaced by the next one, while its weights are
	 * still being distributed.
	 */
	private static final long REPLACE_DELAY_MS = 700;

	private RuleFaults() {
	}

	static ActiveFault newModel(FaultSite site) throws IOException, InterruptedException {
		site.rules().releaseModel();
		return new ActiveFault(Set.of(), () -> {
		});
	}

	static ActiveFault replacedModel(FaultSite site) throws IOException, InterruptedException {
		site.rules().releaseModel();
		TimeUnit.MILLISECONDS.sleep(REPLACE_DELAY_MS);
		site.rules().releaseModel();
		return new ActiveFault(Set.of(), () -> {
		});
	}

	static ActiveFault corruptChunks(FaultSite site) throws IOException, InterruptedException {
		site.fleet().setFault(FleetPlan.ORIGIN, FaultSite.fault("corrupt").put("fraction", 0.2));
		site.rules().releaseModel();
		return new ActiveFault(Set.of(), () -> site.clearFault(FleetPlan.ORIGIN, "corrupt"));
	}

	static ActiveFault takeDomainOut(FaultSite site) throws IOException, InterruptedException {
		String domain = site.chooseDomain();
		site.rules().setInService(domain, false);
		return new ActiveFault(Set.of(domain), () -> {
			// Longer than the bound of 3 s, so that work that arrives too late is
			// observed.
			TimeUnit.MILLISECONDS.sleep(4_000);
			site.rules().setInService(domain, true);
		});
	}

	static ActiveFault operatorsRace(FaultSite site) throws IOException, InterruptedException {
		site.rules().raceOperators();
		return new ActiveFault(Set.of(), () -> {
		});
	}

}
