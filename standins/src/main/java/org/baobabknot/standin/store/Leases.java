package org.baobabknot.standin.store;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.baobabknot.standin.JsonBody;

/**
 * Leases of the store. When a lease expires, its keys are deleted.
 */
final class Leases {

	private final StoredValues values;

	private final Map<String, Lease> leases = new HashMap<>();

	private long grantedCount;

	Leases(StoredValues values) {
		this.values = values;
	}

	ObjectNode grant(long ttlMillis, long nowNanos) {
		String id = "lease-" + (++this.grantedCount);
		this.leases.put(id, new Lease(ttlMillis, nowNanos + TimeUnit.MILLISECONDS.toNanos(ttlMillis)));
		return JsonBody.object().put("id", id).put("ttl_ms", ttlMillis);
	}

	Optional<ObjectNode> renew(String id, long nowNanos) {
		Lease lease = this.leases.get(id);
		if (lease == null) {
			return Optional.empty();
		}
		this.leases.put(id, new Lease(lease.ttlMillis(), nowNanos + TimeUnit.MILLISECONDS.toNanos(lease.ttlMillis())));
		return Optional.of(JsonBody.object().put("id", id).put("ttl_ms", lease.ttlMillis()));
	}

	boolean isActive(String id) {
		return this.leases.containsKey(id);
	}

	void expire(long nowNanos, Consumer<String> removalListener) {
		List<String> expired = this.leases.entrySet()
			.stream()
			.filter((entry) -> nowNanos - entry.getValue().expiresNanos() >= 0)
			.map(Map.Entry::getKey)
			.toList();
		for (String id : expired) {
			this.leases.remove(id);
			for (String key : this.values.keysOfLease(id)) {
				this.values.remove(key);
				removalListener.accept(key);
			}
		}
	}

	private record Lease(long ttlMillis, long expiresNanos) {

	}

}
