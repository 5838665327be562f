package org.baobabknot.standin.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.baobabknot.standin.JsonBody;
import org.jspecify.annotations.Nullable;

/**
 * The values and the times of their last writes. A version is never used twice for a key,
 * not even after a delete.
 */
final class Values {

	private static final int WRITE_TIMES = 200;

	private final Map<String, Value> values = new HashMap<>();

	private final Map<String, Long> lastVersions = new HashMap<>();

	private final Map<String, List<long[]>> writes = new TreeMap<>();

	@Nullable Value find(String key) {
		return this.values.get(key);
	}

	long version(String key) {
		Value value = this.values.get(key);
		return (value != null) ? value.version() : 0;
	}

	void put(String key, byte[] bytes, String lease) {
		long version = this.lastVersions.merge(key, 1L, Long::sum);
		this.values.put(key, new Value(bytes, version, lease));
		List<long[]> times = this.writes.computeIfAbsent(key, (name) -> new ArrayList<>());
		times.add(new long[] { version, System.currentTimeMillis() });
		if (times.size() > WRITE_TIMES) {
			times.remove(0);
		}
	}

	void remove(String key) {
		this.values.remove(key);
	}

	List<String> keysOf(String lease) {
		return this.values.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().lease().equals(lease))
			.map(Map.Entry::getKey)
			.toList();
	}

	ObjectNode json() {
		ObjectNode node = JsonBody.object();
		this.writes.forEach((key, times) -> {
			ArrayNode list = node.putArray(key);
			times.forEach((time) -> list.addObject().put("version", time[0]).put("at_ms", time[1]));
		});
		return node;
	}

}
