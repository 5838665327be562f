package org.baobabknot.experiment;

import java.io.IOException;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.baobabknot.experiment.FaultKind.ActiveFault;

/**
 * Faults of the platform, the links and the targets.
 */
final class StandinFaults {

	private StandinFaults() {
	}

	static ActiveFault target(FaultSite site, String instance, String kind, String... flags)
			throws IOException, InterruptedException {
		ObjectNode fault = FaultSite.fault(kind);
		for (String flag : flags) {
			fault.put(flag, true);
		}
		site.fleet().setFault(instance, fault);
		return new ActiveFault(Set.of(instance), () -> {
			site.clearFault(instance, kind);
			site.release(instance);
		});
	}

	static ActiveFault some(FaultSite site, String standin, String kind, int times)
			throws IOException, InterruptedException {
		site.fleet().setFault(standin, FaultSite.fault(kind).put("times", times));
		return new ActiveFault(Set.of(standin), () -> {
			site.clearFault(standin, kind);
			site.release(standin);
		});
	}

	static ActiveFault platform(FaultSite site, String standin, String kind, int millis)
			throws IOException, InterruptedException {
		site.fleet().setFault(standin, FaultSite.fault(kind).put("ms", millis));
		return new ActiveFault(Set.of(), () -> site.clearFault(standin, kind));
	}

	static ActiveFault link(FaultSite site, String kind) throws IOException, InterruptedException {
		List<Deployment.Domain> domains = site.fleet().deployment().domains();
		int first = site.nextInt(domains.size());
		int second = (first + 1 + site.nextInt(domains.size() - 1)) % domains.size();
		String from = domains.get(first).name();
		String to = domains.get(second).name();
		site.fleet().setFault(FleetPlan.LINKS, FaultSite.fault(kind).put("from", from).put("to", to));
		return new ActiveFault(Set.of(from, to), () -> site.clearFault(FleetPlan.LINKS, kind));
	}

}
