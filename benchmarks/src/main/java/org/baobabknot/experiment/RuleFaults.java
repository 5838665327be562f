package org.baobabknot.experiment;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.baobabknot.experiment.FaultKind.InForce;

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

	static InForce newModel(FaultSite site) throws IOException, InterruptedException {
		site.rules().releaseModel();
		return new InForce(Set.of(), () -> {
		});
	}

	static InForce replacedModel(FaultSite site) throws IOException, InterruptedException {
		site.rules().releaseModel();
		TimeUnit.MILLISECONDS.sleep(REPLACE_DELAY_MS);
		site.rules().releaseModel();
		return new InForce(Set.of(), () -> {
		});
	}

	static InForce corruptChunks(FaultSite site) throws IOException, InterruptedException {
		site.fleet().fault(FleetPlan.ORIGIN, FaultSite.fault("corrupt").put("fraction", 0.2));
		site.rules().releaseModel();
		return new InForce(Set.of(), () -> site.clear(FleetPlan.ORIGIN, "corrupt"));
	}

	static InForce takeDomainOut(FaultSite site) throws IOException, InterruptedException {
		String domain = site.domain();
		site.rules().domain(domain, false);
		return new InForce(Set.of(domain), () -> {
			// Longer than the bound of 3 s, so that work that arrives too late is
			// observed.
			TimeUnit.MILLISECONDS.sleep(4_000);
			site.rules().domain(domain, true);
		});
	}

	static InForce operatorsRace(FaultSite site) throws IOException, InterruptedException {
		site.rules().race();
		return new InForce(Set.of(), () -> {
		});
	}

}
