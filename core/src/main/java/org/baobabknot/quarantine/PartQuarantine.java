package org.baobabknot.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.stream.Collectors;

/**
 * What a process knows about the parts of prompts: when they were served, and in which
 * crashes of targets they were involved. A target that crashes under a part does so each
 * time and before it writes a response, so a part that was served is harmless, and a
 * request without a response at a crashed target is suspected for its other parts.
 * Entries exchange both kinds of records and come to the same verdicts. Confined to one
 * thread.
 */
public final class PartQuarantine {

	/** Time for which a part counts as harmless after it was served. */
	private static final long SERVED_NANOS = TimeUnit.SECONDS.toNanos(30);

	/** Parts that are remembered as served, those served last. */
	private static final int MAX_SERVED = 4_096;

	/** Parts that are suspected or quarantined. */
	private static final int MAX_SUSPICIONS = 256;

	/** Suspected parts of one request; a prompt has a handful of them. */
	private static final int MAX_PARTS_PER_REQUEST = 32;

	private final Map<Long, Long> servedNanos = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
			return size() > MAX_SERVED;
		}
	};

	private final Map<Long, Suspicion> suspicions = new HashMap<>();

	/**
	 * Records that a target has written a response on a prompt.
	 * @param parts parts of the prompt
	 * @param nowNanos monotonic time
	 * @return parts that are no longer suspected
	 */
	public List<Long> recordServed(Collection<Long> parts, long nowNanos) {
		List<Long> cleared = new ArrayList<>();
		for (Long part : parts) {
			this.servedNanos.merge(part, nowNanos, Math::max);
			if (this.suspicions.remove(part) != null) {
				cleared.add(part);
			}
		}
		return cleared;
	}

	/**
	 * Records that a target crashed before it had written a response on a prompt.
	 * @param crash id of the crash, the same in all processes
	 * @param parts parts of the prompt
	 * @param nowNanos monotonic time
	 * @return evidence that was unknown, to be sent to the other processes
	 */
	public List<CrashEvidence> recordCrash(long crash, Collection<Long> parts, long nowNanos) {
		List<CrashEvidence> added = new ArrayList<>();
		for (Long part : parts.stream().distinct().filter((part) -> !isServed(part, nowNanos)).toList()) {
			if (added.size() < MAX_PARTS_PER_REQUEST && addCrash(part, crash, nowNanos, nowNanos)) {
				added.add(new CrashEvidence(part, crash, 0));
			}
		}
		return added;
	}

	/**
	 * Adds evidence of another process.
	 * @param evidence the evidence
	 * @param nowNanos monotonic time
	 * @return whether the part was served here, which the other process may not know
	 */
	public boolean merge(CrashEvidence evidence, long nowNanos) {
		if (isServed(evidence.part(), nowNanos)) {
			return true;
		}
		addCrash(evidence.part(), evidence.crash(), nowNanos - evidence.ageNanos(), nowNanos);
		return false;
	}

	/**
	 * Adds a record of another process that a part was served.
	 * @param served the record
	 * @param nowNanos monotonic time
	 * @return whether the part is no longer suspected
	 */
	public boolean merge(ServedPart served, long nowNanos) {
		long servedAt = nowNanos - served.ageNanos();
		Suspicion suspicion = this.suspicions.get(served.part());
		if (served.ageNanos() >= SERVED_NANOS) {
			return false;
		}
		this.servedNanos.merge(served.part(), servedAt, Math::max);
		if (suspicion == null || suspicion.lastCrashNanos() - servedAt >= SERVED_NANOS) {
			return false;
		}
		this.suspicions.remove(served.part());
		return true;
	}

	private boolean addCrash(long part, long crash, long crashNanos, long nowNanos) {
		Suspicion known = this.suspicions.get(part);
		if (known != null && known.hasExpired(nowNanos)) {
			this.suspicions.remove(part);
		}
		if (!this.suspicions.containsKey(part) && this.suspicions.size() >= MAX_SUSPICIONS) {
			evict(nowNanos);
		}
		return this.suspicions.computeIfAbsent(part, (id) -> new Suspicion()).add(crash, crashNanos);
	}

	// Quarantined parts go last: a burst of suspicions must not release them.
	private void evict(long nowNanos) {
		this.suspicions.values().removeIf((suspicion) -> suspicion.hasExpired(nowNanos));
		if (this.suspicions.size() >= MAX_SUSPICIONS) {
			Comparator<Map.Entry<Long, Suspicion>> order = Comparator
				.comparing((entry) -> entry.getValue().verdict(nowNanos));
			this.suspicions.entrySet()
				.stream()
				.min(order.thenComparing((entry) -> entry.getValue().lastCrashNanos()))
				.map(Map.Entry::getKey)
				.ifPresent(this.suspicions::remove);
		}
	}

	private boolean isServed(Long part, long nowNanos) {
		Long served = this.servedNanos.get(part);
		return served != null && nowNanos - served < SERVED_NANOS;
	}

	/**
	 * Returns the verdict on a prompt.
	 * @param parts its parts, empty for a request without a prompt
	 * @param nowNanos monotonic time
	 * @return the verdict on its worst part
	 */
	public PromptVerdict verdict(Collection<Long> parts, long nowNanos) {
		PromptVerdict verdict = PromptVerdict.SERVED;
		for (Long part : parts) {
			verdict = verdict.worse(verdict(part, nowNanos));
		}
		return verdict;
	}

	private PromptVerdict verdict(Long part, long nowNanos) {
		Suspicion suspicion = this.suspicions.get(part);
		if (suspicion != null) {
			return suspicion.verdict(nowNanos);
		}
		return (isServed(part, nowNanos)) ? PromptVerdict.SERVED : PromptVerdict.UNKNOWN;
	}

	/**
	 * Returns the parts of a prompt with a verdict.
	 * @param parts parts of the prompt
	 * @param verdict the verdict
	 * @param nowNanos monotonic time
	 * @return those that have it
	 */
	public List<Long> partsWith(Collection<Long> parts, PromptVerdict verdict, long nowNanos) {
		return parts.stream().filter((part) -> verdict(part, nowNanos) == verdict).toList();
	}

	/**
	 * Returns all quarantined parts.
	 * @param nowNanos monotonic time
	 * @return their ids
	 */
	public Set<Long> quarantinedParts(long nowNanos) {
		return this.suspicions.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().verdict(nowNanos) == PromptVerdict.QUARANTINED)
			.map(Map.Entry::getKey)
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Returns whether any part is suspected or quarantined.
	 * @return whether there is evidence to send to other processes
	 */
	public boolean hasSuspicions() {
		return !this.suspicions.isEmpty();
	}

	/**
	 * Returns the evidence to send to another process.
	 * @param max maximum number of records
	 * @param nowNanos monotonic time
	 * @return records of the parts whose last crash is newest
	 */
	public List<CrashEvidence> evidence(int max, long nowNanos) {
		this.suspicions.values().removeIf((suspicion) -> suspicion.hasExpired(nowNanos));
		List<CrashEvidence> records = new ArrayList<>();
		BiFunction<Long, Long, CrashEvidence> record = (part, crash) -> new CrashEvidence(part, crash,
				nowNanos - this.suspicions.get(part).nanosOf(crash));
		this.suspicions.entrySet()
			.stream()
			.sorted(Comparator.comparing((entry) -> -entry.getValue().lastCrashNanos()))
			.forEach((entry) -> entry.getValue()
				.forEachCrash((crash) -> records.add(record.apply(entry.getKey(), crash))));
		return (records.size() <= max) ? records : List.copyOf(records.subList(0, max));
	}

	/**
	 * Returns the record that a part was served.
	 * @param part the part
	 * @param nowNanos monotonic time
	 * @return the record
	 * @throws IllegalStateException if the part was not served recently
	 */
	public ServedPart servedRecord(long part, long nowNanos) {
		Long served = this.servedNanos.get(part);
		if (served == null) {
			throw new IllegalStateException("part " + Long.toHexString(part) + " was not served");
		}
		return new ServedPart(part, nowNanos - served);
	}

}
