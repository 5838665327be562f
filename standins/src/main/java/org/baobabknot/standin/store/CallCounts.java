package org.baobabknot.standin.store;

import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.baobabknot.standin.JsonBody;

/**
 * Number of calls by kind.
 */
final class CallCounts {

	private final Map<String, Long> counts = new TreeMap<>();

	CallCounts() {
		for (String kind : new String[] { "reads", "writes", "watches", "leases", "limited", "lost_answers" }) {
			this.counts.put(kind, 0L);
		}
	}

	void increment(String kind) {
		this.counts.merge(kind, 1L, Long::sum);
	}

	Map<String, Long> copy() {
		return Map.copyOf(this.counts);
	}

	ObjectNode toJson() {
		ObjectNode node = JsonBody.object();
		this.counts.forEach(node::put);
		return node;
	}

}
