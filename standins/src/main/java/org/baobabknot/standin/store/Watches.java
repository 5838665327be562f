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

	void add(String key, Call call, long above) {
		this.pending.computeIfAbsent(key, (name) -> new ArrayList<>()).add(new Watch(call, above));
		call.onClose(() -> remove(key, (watch) -> watch.call() == call));
	}

	void timeOut(String key, Call call) {
		if (remove(key, (watch) -> watch.call() == call)) {
			call.answer(304, "application/json", new byte[0], Map.of());
		}
	}

	void wake(String key, long version, ObjectNode body) {
		List<Watch> woken = this.pending.getOrDefault(key, List.of())
			.stream()
			.filter((watch) -> version > watch.above())
			.toList();
		remove(key, woken::contains);
		woken.forEach((watch) -> watch.call().answer(200, body));
	}

	private boolean remove(String key, Predicate<Watch> which) {
		List<Watch> watches = this.pending.get(key);
		if (watches == null) {
			return false;
		}
		boolean removed = watches.removeIf(which);
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

	private record Watch(Call call, long above) {

	}

}
