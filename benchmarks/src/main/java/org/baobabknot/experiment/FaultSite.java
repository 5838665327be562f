package org.baobabknot.experiment;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Gives the faults access to the fleet and chooses the instances and failure domains that
 * they affect, with a seeded random generator.
 */
final class FaultSite {

	private final Fleet fleet;

	private final FaultRules rules;

	private final FaultHistory history;

	private final RandomGenerator random;

	private final Set<String> faultyInstances = new HashSet<>();

	FaultSite(Fleet fleet, FaultRules rules, FaultHistory history, RandomGenerator random) {
		this.fleet = fleet;
		this.rules = rules;
		this.history = history;
		this.random = random;
	}

	Fleet fleet() {
		return this.fleet;
	}

	FaultRules rules() {
		return this.rules;
	}

	FaultHistory history() {
		return this.history;
	}

	int nextInt(int bound) {
		return this.random.nextInt(bound);
	}

	String chooseEntry() {
		return choose(Deployment.Instance::isEntry);
	}

	String chooseAgent() {
		return choose((instance) -> !instance.isEntry());
	}

	String chooseEngine() {
		return choose((instance) -> instance.service().filter(Deployment.Service::engine).isPresent());
	}

	String chooseOrderTarget() {
		String service = this.fleet.deployment().orderService().name();
		return choose(
				(instance) -> instance.service().filter((candidate) -> candidate.name().equals(service)).isPresent());
	}

	// Chooses only instances without a fault, so that each fault can be ended
	// independently.
	private String choose(Predicate<Deployment.Instance> condition) {
		List<String> names = this.fleet.deployment()
			.instances()
			.stream()
			.filter(condition)
			.map(Deployment.Instance::name)
			.filter((name) -> !this.faultyInstances.contains(name))
			.toList();
		String chosen = names.get(nextInt(names.size()));
		this.faultyInstances.add(chosen);
		return chosen;
	}

	void release(String instance) {
		this.faultyInstances.remove(instance);
	}

	String chooseDomain() {
		List<Deployment.Domain> domains = this.fleet.deployment().domains();
		return domains.get(nextInt(domains.size())).name();
	}

	String domainOf(String instance) {
		return this.fleet.deployment()
			.instances()
			.stream()
			.filter((candidate) -> candidate.name().equals(instance))
			.findFirst()
			.map((match) -> match.domain().name())
			.orElse("");
	}

	static ObjectNode fault(String kind) {
		return JsonNodeFactory.instance.objectNode().put("kind", kind);
	}

	void clearFault(String standin, String kind) throws IOException, InterruptedException {
		this.fleet.clearFault(standin, kind);
	}

}
