package org.baobabknot.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

/**
 * View of the fleet in this process: configuration in force, targets, entries, wanted
 * model versions and failure domains out of service. Confined to one thread.
 */
public final class FleetView {

	/**
	 * Number of entries among which limits are divided as long as the actual number is
	 * not known. It is larger than in any region of the largest deployment, so that the
	 * entries stay within the limits together.
	 */
	public static final int DEFAULT_ENTRIES = 64;

	private final Map<String, String> regions;

	private final Freshness freshness = new Freshness();

	private final Map<String, TargetRecord> targets = new HashMap<>();

	private final Map<String, Long> targetsUpdatedNanos = new HashMap<>();

	private final Map<String, List<TargetRecord>> byService = new HashMap<>();

	private final Map<String, NavigableMap<Long, Long>> wanted = new HashMap<>();

	private final Map<String, EntryRecord> entries = new HashMap<>();

	private @Nullable List<EntryRecord> entriesList;

	private final KnownEntries knownEntries = new KnownEntries();

	private int maxEntries;

	private long entriesReadNanos;

	private Set<String> domainsOut = Set.of();

	private @Nullable FleetConfiguration configuration;

	/**
	 * Creates an empty view.
	 * @param regions region of each failure domain
	 */
	public FleetView(Map<String, String> regions) {
		this.regions = Map.copyOf(regions);
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, or nothing as long as none is known
	 */
	public Optional<FleetConfiguration> configuration() {
		return Optional.ofNullable(this.configuration);
	}

	/**
	 * Adopts a configuration unless a newer one is in force.
	 * @param candidate the configuration
	 * @return whether it is in force now and was not before
	 */
	public boolean tryAdopt(FleetConfiguration candidate) {
		FleetConfiguration current = this.configuration;
		if (current != null && current.version() >= candidate.version()) {
			return false;
		}
		this.configuration = candidate;
		return true;
	}

	/**
	 * Adds or replaces a target.
	 * @param target the target
	 * @param nowNanos monotonic time
	 */
	public void putTarget(TargetRecord target, long nowNanos) {
		this.targets.put(target.id(), target);
		this.targetsUpdatedNanos.put(target.id(), nowNanos);
		this.byService.clear();
	}

	/**
	 * Removes a target.
	 * @param id its identity
	 */
	public void removeTarget(String id) {
		this.targets.remove(id);
		this.targetsUpdatedNanos.remove(id);
		this.byService.clear();
	}

	/**
	 * Removes all targets except the given ones.
	 * @param ids identities of the targets to keep
	 */
	public void retainTargets(Set<String> ids) {
		this.targets.keySet().retainAll(ids);
		this.targetsUpdatedNanos.keySet().retainAll(ids);
		this.byService.clear();
	}

	/**
	 * Finds a target.
	 * @param id its identity
	 * @return the target, or nothing if it is not listed
	 */
	public Optional<TargetRecord> target(String id) {
		return Optional.ofNullable(this.targets.get(id));
	}

	/**
	 * Returns the targets of a service.
	 * @param service name of the service
	 * @return all listed targets, including those that are leaving
	 */
	public List<TargetRecord> targets(String service) {
		return this.byService.computeIfAbsent(service, (name) -> {
			List<TargetRecord> matching = new ArrayList<>();
			this.targets.values().forEach((target) -> {
				if (target.service().equals(name)) {
					matching.add(target);
				}
			});
			return matching;
		});
	}

	/**
	 * Returns the time until a target is warm.
	 * @param target the target
	 * @param nowNanos monotonic time
	 * @return time in ms, 0 if it is warm
	 */
	public long coldLeftMs(TargetRecord target, long nowNanos) {
		Long updatedNanos = this.targetsUpdatedNanos.get(target.id());
		if (target.coldMs() <= 0 || updatedNanos == null) {
			return 0;
		}
		return Math.max(0, target.coldMs() - TimeUnit.NANOSECONDS.toMillis(nowNanos - updatedNanos));
	}

	/**
	 * Sets the failure domains that are out of service. Their targets get no requests.
	 * @param domains names of the domains
	 */
	public void setDomainsOut(Set<String> domains) {
		this.domainsOut = Set.copyOf(domains);
	}

	/**
	 * Returns the failure domains that are out of service.
	 * @return names of the domains
	 */
	public Set<String> domainsOut() {
		return this.domainsOut;
	}

	/**
	 * Records a version of a model that the operators want to be served.
	 * @param model the model
	 * @param version the version; ignored unless newer than all recorded ones
	 * @param sinceNanos monotonic time since which it is wanted
	 */
	public void wanted(String model, long version, long sinceNanos) {
		NavigableMap<Long, Long> versions = this.wanted.computeIfAbsent(model, (absent) -> new TreeMap<>());
		if (versions.isEmpty() || versions.lastKey() < version) {
			versions.put(version, sinceNanos);
		}
	}

	/**
	 * Returns the newest wanted version of a model.
	 * @param model the model
	 * @return the version, 0 as long as none is known
	 */
	public long wantedVersion(String model) {
		NavigableMap<Long, Long> versions = this.wanted.get(model);
		return (versions == null || versions.isEmpty()) ? 0 : versions.lastKey();
	}

	/**
	 * Returns the oldest version of a model that a new request may run on.
	 * @param model the model
	 * @param nowNanos monotonic time
	 * @param graceNanos time after which a wanted version is required
	 * @return the version, 0 for any
	 */
	public long requiredVersion(String model, long nowNanos, long graceNanos) {
		long required = 0;
		for (Map.Entry<Long, Long> entry : this.wanted.getOrDefault(model, Collections.emptyNavigableMap())
			.entrySet()) {
			if (nowNanos - entry.getValue() >= graceNanos) {
				required = entry.getKey();
			}
		}
		return required;
	}

	/**
	 * Returns the time since which a version newer than the given one is wanted.
	 * @param model the model
	 * @param version a version
	 * @return monotonic time of the lowest newer version, or nothing
	 */
	public Optional<Long> wantedSince(String model, long version) {
		Map.Entry<Long, Long> newer = this.wanted.getOrDefault(model, Collections.emptyNavigableMap())
			.higherEntry(version);
		return Optional.ofNullable(newer).map(Map.Entry::getValue);
	}

	/**
	 * Adds or replaces an entry.
	 * @param entry the entry
	 */
	public void putEntry(EntryRecord entry) {
		if (!entry.equals(this.entries.put(entry.instance(), entry))) {
			this.entriesList = null;
		}
	}

	/**
	 * Removes an entry.
	 * @param instance name of the entry
	 */
	public void removeEntry(String instance) {
		this.entries.remove(instance);
		this.entriesList = null;
	}

	/**
	 * Returns the entries that are registered.
	 * @return an immutable list, the same one until an entry changes
	 */
	public List<EntryRecord> entries() {
		List<EntryRecord> current = this.entriesList;
		if (current == null) {
			current = List.copyOf(this.entries.values());
			this.entriesList = current;
		}
		return current;
	}

	/**
	 * Records that all registrations have been read.
	 * @param nowNanos monotonic time
	 */
	public void recordEntriesRead(long nowNanos) {
		this.entriesReadNanos = nowNanos;
		this.maxEntries = Math.max(this.maxEntries, this.entries.size());
		this.knownEntries.recordRead(this.entries.keySet(), nowNanos);
	}

	/**
	 * Returns when all registrations were last read.
	 * @return monotonic time, nothing before the first time
	 */
	public OptionalLong entriesReadNanos() {
		return (this.maxEntries > 0) ? OptionalLong.of(this.entriesReadNanos) : OptionalLong.empty();
	}

	/**
	 * Returns the number of entries among which a limit of the fleet is divided. It is
	 * the largest number read so far, because registrations expire during an outage of
	 * the store although their entries still run.
	 * @return number of entries, at least 1; {@link #DEFAULT_ENTRIES} until the
	 * registrations have been read
	 */
	public int limitDivisor() {
		return (this.maxEntries > 0) ? this.maxEntries : DEFAULT_ENTRIES;
	}

	/**
	 * Returns whether all entries that may be running are registered, so that they
	 * compute the same ranking of each other.
	 * @return false before the list was read, and for a short time after an entry has
	 * left
	 */
	public boolean entriesComplete() {
		return this.knownEntries.complete();
	}

	/**
	 * Returns the instance names of all entries that may be running, those included whose
	 * registration went missing a short time ago.
	 * @return a copy, empty before the list was read
	 */
	public Set<String> knownInstances() {
		return this.knownEntries.names();
	}

	/**
	 * Returns the instance names of the entries.
	 * @return a copy
	 */
	public Set<String> entryInstances() {
		return new HashSet<>(this.entries.keySet());
	}

	/**
	 * Returns the region of a failure domain.
	 * @param domain the domain
	 * @return the region, empty if the domain is not known
	 */
	public String region(String domain) {
		return this.regions.getOrDefault(domain, "");
	}

	/**
	 * Returns the freshness of this view.
	 * @return the freshness, which callers may update
	 */
	public Freshness freshness() {
		return this.freshness;
	}

}
