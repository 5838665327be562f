package org.baobabknot.standin;

import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Active faults of a stand-in. Not thread-safe: used on the event loop of the server
 * only.
 */
public final class Faults {

	private final Map<String, ObjectNode> active = new TreeMap<>();

	private final SplittableRandom random = new SplittableRandom(1);

	/**
	 * Returns an active fault.
	 * @param kind the kind
	 * @return the fault with its parameters, or empty when it is not active
	 */
	public Optional<ObjectNode> find(String kind) {
		return Optional.ofNullable(this.active.get(kind));
	}

	/**
	 * Returns whether a fault is active.
	 * @param kind the kind
	 * @return whether the fault is active
	 */
	public boolean isActive(String kind) {
		return this.active.containsKey(kind);
	}

	/**
	 * Decides whether a fault applies to the current operation. A fault with
	 * {@code fraction} applies at random with this probability, and one with
	 * {@code times} is cleared after it has applied that many times.
	 * @param kind the kind
	 * @return whether the fault applies
	 */
	public boolean tryTrigger(String kind) {
		ObjectNode fault = this.active.get(kind);
		if (fault == null || this.random.nextDouble() >= fault.path("fraction").asDouble(1)) {
			return false;
		}
		if (fault.has("times")) {
			int remainingTimes = fault.path("times").asInt() - 1;
			fault.put("times", remainingTimes);
			if (remainingTimes <= 0) {
				this.active.remove(kind);
			}
		}
		return true;
	}

	void set(ObjectNode fault) {
		this.active.put(fault.path("kind").asText(), fault.deepCopy());
	}

	void clear(Optional<String> kind) {
		kind.ifPresentOrElse(this.active::remove, this.active::clear);
	}

	ObjectNode toJson() {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		this.active.forEach(node::set);
		return node;
	}

}
