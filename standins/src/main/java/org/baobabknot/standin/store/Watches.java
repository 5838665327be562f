package org.baobabknot.standin.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.baobabknot.standin.Call;

/**
 * Pending watches by key.
 */
final class Watches {

	private final Map<String, List<Watch>> pending = new HashMap<>();

	void add(String key, Call call, long aboveVersion) {
		this.pending.computeIfAbsent(key, (name) -> new ArrayList<>()).add(new Watch(call, aboveVersion));
		call.onClose(() -> remove(key, (watch) -> watch.call() == call));
	}

	void timeOut(String key, Call call) {
		if (remove(key, (watch) -> watch.call() == call)) {
			call.respond(304, "application/json", new byte[0], Map.of());
		}
	}

	void notifyChanged(String key, long version, ObjectNode body) {
		List<Watch> notified = this.pending.getOrDefault(key, List.of())
			.stream()
			.filter((watch) -> version > watch.aboveVersion())
			.toList();
		remove(key, notified::contains);
		notified.forEach((watch) -> watch.call().respond(200, body));
	}

	private boolean remove(String key, Predicate<Watch> filter) {
		List<Watch> watches = this.pending.get(key);
		if (watches == null) {
			return false;
		}
		boolean removed = watches.removeIf(filter);
		if (watches.isEmpty()) {
			this.pending.remove(key);
		}
		return removed;
	}

	void clear() {
		this.pending.clear();
	}

	int size() {
		return this.pending.values().stream().mapToInt(List::size).sum();
	}

	private record Watch(Call call, long aboveVersion) {

	}

}
