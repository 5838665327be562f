package org.baobabknot.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Collects the violations of the guarantees from section 2.1 of the design page.
 */
final class Violations {

	private static final int MAX_EXAMPLES = 5;

	private final Map<Guarantee, List<String>> detailsByGuarantee = new LinkedHashMap<>();

	Violations() {
		for (Guarantee guarantee : Guarantee.values()) {
			this.detailsByGuarantee.put(guarantee, new ArrayList<>());
		}
	}

	void add(Guarantee guarantee, String detail) {
		this.detailsByGuarantee.computeIfAbsent(guarantee, (key) -> new ArrayList<>()).add(detail);
	}

	boolean isEmpty() {
		return this.detailsByGuarantee.values().stream().allMatch(List::isEmpty);
	}

	int count(Guarantee guarantee) {
		return this.detailsByGuarantee.getOrDefault(guarantee, List.of()).size();
	}

	ObjectNode json() {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		this.detailsByGuarantee
			.forEach((guarantee, details) -> node.put(guarantee.name().toLowerCase(Locale.ROOT), details.size()));
		return node;
	}

	void report(ExperimentContext context) {
		this.detailsByGuarantee.forEach((guarantee, details) -> details.stream()
			.limit(MAX_EXAMPLES)
			.forEach((detail) -> context.report("violation of %s: %s", guarantee, detail)));
	}

	/**
	 * The guarantees, in the order of the design page.
	 */
	enum Guarantee {

		WEIGHTS, COLD, DOMAIN_OUT, ANSWER, NOT_RUN, AT_MOST_ONCE, LEAVING, SHUTDOWN, CONFIGURATION

	}

}
