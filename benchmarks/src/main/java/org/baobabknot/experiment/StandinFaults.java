package org.baobabknot.experiment;

import java.io.IOException;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.baobabknot.experiment.FaultKind.InForce;

/**
 * Injects faults into the stand-ins for the platform, the links and the targets.
 */
final class StandinFaults {

	private StandinFaults() {
	}

	static InForce injectTargetFault(FaultSite site, String instance, String kind, String... flags)
			throws IOException, InterruptedException {
		ObjectNode fault = FaultSite.fault(kind);
		for (String flag : flags) {
			fault.put(flag, true);
		}
		site.fleet().fault(instance, fault);
		return new InForce(Set.of(instance), () -> {
			site.clear(instance, kind);
			site.release(instance);
		});
	}

	static InForce injectLimitedFault(FaultSite site, String standin, String kind, int requestCount)
			throws IOException, InterruptedException {
		site.fleet().fault(standin, FaultSite.fault(kind).put("times", requestCount));
		return new InForce(Set.of(standin), () -> {
			site.clear(standin, kind);
			site.release(standin);
		});
	}

	static InForce injectPlatformFault(FaultSite site, String standin, String kind, int valueMs)
			throws IOException, InterruptedException {
		site.fleet().fault(standin, FaultSite.fault(kind).put("ms", valueMs));
		return new InForce(Set.of(), () -> site.clear(standin, kind));
	}

	static InForce injectLinkFault(FaultSite site, String kind) throws IOException, InterruptedException {
		List<Deployment.Domain> domains = site.fleet().deployment().domains();
		int first = site.next(domains.size());
		int second = (first + 1 + site.next(domains.size() - 1)) % domains.size();
		String from = domains.get(first).name();
		String to = domains.get(second).name();
		site.fleet().fault(FleetPlan.LINKS, FaultSite.fault(kind).put("from", from).put("to", to));
		return new InForce(Set.of(from, to), () -> site.clear(FleetPlan.LINKS, kind));
	}

}
