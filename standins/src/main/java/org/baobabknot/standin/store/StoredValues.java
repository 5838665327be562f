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
 * Stored values by key, with the times of the latest writes. A version is never reused
 * for a key, not even after a delete, unless the values are restored from a copy.
 */
final class StoredValues {

	private static final int MAX_WRITE_TIMES_PER_KEY = 200;

	private final Map<String, StoredValue> values = new HashMap<>();

	private final Map<String, Long> lastVersions = new HashMap<>();

	private final Map<String, List<long[]>> writeTimes = new TreeMap<>();

	@Nullable StoredValue find(String key) {
		return this.values.get(key);
	}

	long version(String key) {
		StoredValue value = this.values.get(key);
		return (value != null) ? value.version() : 0;
	}

	void put(String key, byte[] bytes, String leaseId) {
		long version = this.lastVersions.merge(key, 1L, Long::sum);
		this.values.put(key, new StoredValue(bytes, version, leaseId));
		List<long[]> times = this.writeTimes.computeIfAbsent(key, (name) -> new ArrayList<>());
		times.add(new long[] { version, System.currentTimeMillis() });
		if (times.size() > MAX_WRITE_TIMES_PER_KEY) {
			times.remove(0);
		}
	}

	void remove(String key) {
		this.values.remove(key);
	}

	List<String> keysOfLease(String leaseId) {
		return this.values.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().leaseId().equals(leaseId))
			.map(Map.Entry::getKey)
			.toList();
	}

	Copy copy() {
		return new Copy(Map.copyOf(this.values), Map.copyOf(this.lastVersions));
	}

	void restore(Copy copy) {
		this.values.clear();
		this.values.putAll(copy.values());
		this.lastVersions.clear();
		this.lastVersions.putAll(copy.lastVersions());
	}

	ObjectNode writeTimesJson() {
		ObjectNode node = JsonBody.object();
		this.writeTimes.forEach((key, times) -> {
			ArrayNode list = node.putArray(key);
			times.forEach((time) -> list.addObject().put("version", time[0]).put("at_ms", time[1]));
		});
		return node;
	}

	/**
	 * All values at one moment.
	 *
	 * @param values the values by key
	 * @param lastVersions version of the last write of each key
	 */
	record Copy(Map<String, StoredValue> values, Map<String, Long> lastVersions) {
	}

}
