package org.baobabknot.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

/**
 * Names of the entries that may be running: those that are registered, and those whose
 * registration went missing a short time ago. A registration also expires during an
 * outage of the store, and is written again after it; an entry that is still missing then
 * has left. Confined to one thread.
 */
final class KnownEntries {

	/**
	 * Time after the first list without an entry in which a running one registers again.
	 */
	private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(30);

	/** Time of the first list without the entry, null while it is listed. */
	private final Map<String, @Nullable Long> missingSinceNanos = new HashMap<>();

	/**
	 * Records that the registrations were read.
	 * @param listed names of the registered entries
	 * @param nowNanos monotonic time
	 */
	void recordRead(Set<String> listed, long nowNanos) {
		this.missingSinceNanos.replaceAll((name, since) -> (since != null) ? since : Long.valueOf(nowNanos));
		listed.forEach((name) -> this.missingSinceNanos.put(name, null));
		this.missingSinceNanos.values().removeIf((since) -> since != null && nowNanos - since > RETENTION_NANOS);
	}

	/**
	 * Returns the names.
	 * @return a copy, empty before the first read
	 */
	Set<String> names() {
		return new HashSet<>(this.missingSinceNanos.keySet());
	}

	/**
	 * Returns whether each entry that may be running is registered.
	 * @return false before the first read
	 */
	boolean complete() {
		return !this.missingSinceNanos.isEmpty()
				&& !this.missingSinceNanos.values().stream().anyMatch(KnownEntries::isMissing);
	}

	private static boolean isMissing(@Nullable Long since) {
		return since != null;
	}

}
