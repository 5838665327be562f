package org.baobabknot.experiment;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.baobabknot.experiment.FaultKind.ActiveFault;

/**
 * Changes by operators, alone and against each other.
 */
final class RuleFaults {

	/**
	 * Time after which a new model is replaced while it is being distributed.
	 */
	private static final long REPLACE_MILLIS = 700;

	private RuleFaults() {
	}

	static ActiveFault newModel(FaultSite site) throws IOException, InterruptedException {
		site.rules().releaseModel();
		return new ActiveFault(Set.of(), () -> {
		});
	}

	static ActiveFault replacedModel(FaultSite site) throws IOException, InterruptedException {
		site.rules().releaseModel();
		TimeUnit.MILLISECONDS.sleep(REPLACE_MILLIS);
		site.rules().releaseModel();
		return new ActiveFault(Set.of(), () -> {
		});
	}

	static ActiveFault corruptChunks(FaultSite site) throws IOException, InterruptedException {
		site.fleet().setFault(FleetPlan.ORIGIN, FaultSite.fault("corrupt").put("fraction", 0.2));
		site.rules().releaseModel();
		return new ActiveFault(Set.of(), () -> site.clearFault(FleetPlan.ORIGIN, "corrupt"));
	}

	static ActiveFault domainOut(FaultSite site) throws IOException, InterruptedException {
		String domain = site.chooseDomain();
		site.rules().setInService(domain, false);
		return new ActiveFault(Set.of(domain), () -> {
			// Long enough to see work that arrives after the bound of 3 s.
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
