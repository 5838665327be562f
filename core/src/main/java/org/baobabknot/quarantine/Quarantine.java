package org.baobabknot.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * What a process knows about the traits of requests (the parts of their prompts, and
 * their content as a whole): when they were served, and in which crashes of targets they
 * were involved. A target crashes each time under a harmful trait and sends no whole
 * response, so what was served is harmless, and each request whose response was cut by a
 * crash is suspected for the rest of its traits.
 * <p>
 * Traits that were together in all crashes can't be told apart. A request with all of
 * them would crash its target and is held back; one with a part of them may run, alone,
 * and its outcome tells them apart. Entries exchange both kinds of records and come to
 * the same verdicts. Confined to one thread.
 */
public final class Quarantine {

	/** Time for which a trait counts as harmless after it was served. */
	private static final long SERVED_NANOS = TimeUnit.SECONDS.toNanos(30);

	/** Traits that are remembered as served, those served last. */
	private static final int MAX_SERVED = 16_384;

	/** Requests that were in crashes. */
	private static final int MAX_SUSPECTS = 256;

	/** Suspected traits of one request; it has a handful of them. */
	private static final int MAX_TRAITS_PER_REQUEST = 32;

	/** Time after a crash in which requests that it cut are sent again. */
	private static final long REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/** Oldest crash that other processes report. */
	private static final long MAX_AGE_NANOS = TimeUnit.HOURS.toNanos(24);

	private final Map<Long, Long> servedNanos = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
			return size() > MAX_SERVED;
		}
	};

	private final List<Suspect> suspects = new ArrayList<>();

	private final Map<Long, List<Suspect>> suspectsByTrait = new HashMap<>();

	/** When requests with quarantined traits last came. */
	private final Map<Long, Long> heldNanos = new HashMap<>();

	/**
	 * Records that a target has sent a whole response to a request.
	 * @param traits traits of the request
	 * @param nowNanos monotonic time
	 * @return traits that are no longer suspected
	 */
	public List<Long> recordServed(Collection<Long> traits, long nowNanos) {
		List<Long> cleared = new ArrayList<>();
		for (Long trait : traits) {
			this.servedNanos.merge(trait, nowNanos, Math::max);
			if (clear(trait)) {
				cleared.add(trait);
			}
		}
		return cleared;
	}

	/**
	 * Records that a target crashed before the response to a request was whole.
	 * @param crash id of the crash, the same in all processes
	 * @param traits traits of the request
	 * @param answering whether the target had sent a part of the response
	 * @param nowNanos monotonic time
	 * @return evidence that was unknown, to be sent to the other processes
	 */
	public Optional<CrashEvidence> recordCrash(long crash, Collection<Long> traits, boolean answering, long nowNanos) {
		List<Long> unserved = traits.stream()
			.distinct()
			.filter((trait) -> !wasServed(trait, nowNanos))
			.limit(MAX_TRAITS_PER_REQUEST)
			.toList();
		CrashEvidence evidence = new CrashEvidence(unserved, crash, answering, 0);
		return (!unserved.isEmpty() && add(evidence, nowNanos)) ? Optional.of(evidence) : Optional.empty();
	}

	/**
	 * Adds evidence of another process. Evidence that can't be is ignored.
	 * @param evidence the evidence
	 * @param nowNanos monotonic time
	 * @return its traits that were served here, which the other process may not know
	 */
	public List<Long> merge(CrashEvidence evidence, long nowNanos) {
		if (evidence.ageNanos() < 0 || evidence.ageNanos() > MAX_AGE_NANOS
				|| evidence.traits().size() > MAX_TRAITS_PER_REQUEST) {
			return List.of();
		}
		long crashNanos = nowNanos - evidence.ageNanos();
		List<Long> served = evidence.traits().stream().filter((trait) -> wasServed(trait, crashNanos)).toList();
		List<Long> unserved = evidence.traits().stream().filter((trait) -> !served.contains(trait)).toList();
		if (!unserved.isEmpty()) {
			add(new CrashEvidence(unserved, evidence.crash(), evidence.answering(), evidence.ageNanos()), nowNanos);
		}
		return served;
	}

	/**
	 * Adds a record of another process that a trait was served.
	 * @param served the record
	 * @param nowNanos monotonic time
	 * @return whether the trait is no longer suspected
	 */
	public boolean merge(ServedTrait served, long nowNanos) {
		if (served.ageNanos() < 0 || served.ageNanos() >= SERVED_NANOS) {
			return false;
		}
		long servedAt = nowNanos - served.ageNanos();
		this.servedNanos.merge(served.trait(), servedAt, Math::max);
		List<Suspect> known = this.suspectsByTrait.getOrDefault(served.trait(), List.of());
		boolean servedSince = known.stream().allMatch((suspect) -> suspect.nanos() - servedAt < SERVED_NANOS);
		return servedSince && clear(served.trait());
	}

	// Whether a trait was served within some time before a crash, or since.
	private boolean wasServed(long trait, long crashNanos) {
		Long served = this.servedNanos.get(trait);
		return served != null && crashNanos - served < SERVED_NANOS;
	}

	private boolean clear(long trait) {
		List<Suspect> known = this.suspectsByTrait.remove(trait);
		if (known == null) {
			return false;
		}
		this.heldNanos.remove(trait);
		known.forEach((suspect) -> suspect.traits().remove(trait));
		this.suspects.removeIf((suspect) -> suspect.traits().isEmpty());
		return true;
	}

	private boolean add(CrashEvidence evidence, long nowNanos) {
		long crashNanos = nowNanos - evidence.ageNanos();
		for (Suspect suspect : this.suspects) {
			if (suspect.crash() == evidence.crash() && suspect.traits().containsAll(evidence.traits())
					&& (evidence.answering() || !suspect.answering())) {
				suspect.observedAt(crashNanos);
				return false;
			}
		}
		if (this.suspects.size() >= MAX_SUSPECTS) {
			evict(nowNanos);
		}
		Suspect added = new Suspect(evidence.traits(), evidence.crash(), evidence.answering(), crashNanos);
		this.suspects.add(added);
		for (Long trait : evidence.traits()) {
			List<Suspect> known = this.suspectsByTrait.computeIfAbsent(trait, (absent) -> new ArrayList<>());
			if (!known.isEmpty() && Standing.of(known).hasExpired(nowNanos, held(trait, nowNanos))) {
				List.copyOf(known).forEach((suspect) -> forget(trait, suspect));
				known = this.suspectsByTrait.computeIfAbsent(trait, (absent) -> new ArrayList<>());
			}
			known.add(added);
		}
		return true;
	}

	private void forget(long trait, Suspect suspect) {
		suspect.traits().remove(trait);
		List<Suspect> known = this.suspectsByTrait.get(trait);
		if (known != null) {
			known.remove(suspect);
			if (known.isEmpty()) {
				this.suspectsByTrait.remove(trait);
				this.heldNanos.remove(trait);
			}
		}
		if (suspect.traits().isEmpty()) {
			this.suspects.remove(suspect);
		}
	}

	private void removeExpired(long nowNanos) {
		for (Long trait : List.copyOf(this.suspectsByTrait.keySet())) {
			List<Suspect> known = this.suspectsByTrait.get(trait);
			if (known != null && Standing.of(known).hasExpired(nowNanos, held(trait, nowNanos))) {
				List.copyOf(known).forEach((suspect) -> forget(trait, suspect));
			}
		}
	}

	// What is quarantined goes last: a burst of suspicions must not release it.
	private void evict(long nowNanos) {
		removeExpired(nowNanos);
		if (this.suspects.size() < MAX_SUSPECTS) {
			return;
		}
		Comparator<Suspect> order = Comparator.comparing((suspect) -> suspect.traits()
			.stream()
			.anyMatch((trait) -> standing(trait).isQuarantined(nowNanos, held(trait, nowNanos))));
		this.suspects.stream()
			.min(order.thenComparingLong(Suspect::nanos))
			.ifPresent((suspect) -> List.copyOf(suspect.traits()).forEach((trait) -> forget(trait, suspect)));
	}

	private Standing standing(long trait) {
		return Standing.of(this.suspectsByTrait.getOrDefault(trait, List.of()));
	}

	private long held(long trait, long nowNanos) {
		return this.heldNanos.getOrDefault(trait, nowNanos - MAX_AGE_NANOS);
	}

	/**
	 * Returns the verdict on a request.
	 * @param traits its traits
	 * @param nowNanos monotonic time
	 * @return the verdict on its worst trait
	 */
	public RequestVerdict verdict(Collection<Long> traits, long nowNanos) {
		RequestVerdict verdict = RequestVerdict.SERVED;
		for (Long trait : traits) {
			verdict = verdict.worse(verdict(trait, traits, nowNanos));
		}
		return verdict;
	}

	private RequestVerdict verdict(long trait, Collection<Long> traits, long nowNanos) {
		List<Suspect> known = this.suspectsByTrait.get(trait);
		if (known != null) {
			Standing standing = Standing.of(known);
			if (standing.isQuarantined(nowNanos, held(trait, nowNanos))
					&& traits.containsAll(Standing.companions(trait, known))) {
				return RequestVerdict.QUARANTINED;
			}
			if (standing.isSuspected(nowNanos, held(trait, nowNanos))) {
				return RequestVerdict.SUSPECTED;
			}
		}
		return (wasServed(trait, nowNanos)) ? RequestVerdict.SERVED : RequestVerdict.UNKNOWN;
	}

	/**
	 * Records that a request was held back, which prolongs a quarantine without trials.
	 * @param traits traits of the request
	 * @param nowNanos monotonic time
	 */
	public void recordHeld(Collection<Long> traits, long nowNanos) {
		for (Long trait : traits) {
			if (standing(trait).isQuarantined(nowNanos, held(trait, nowNanos))) {
				this.heldNanos.put(trait, nowNanos);
			}
		}
	}

	/**
	 * Returns the traits of a request that are suspected or quarantined.
	 * @param traits traits of the request
	 * @param nowNanos monotonic time
	 * @return those for which the request has to claim its trial
	 */
	public List<Long> suspectedTraits(Collection<Long> traits, long nowNanos) {
		return traits.stream().distinct().filter((trait) -> {
			List<Suspect> known = this.suspectsByTrait.get(trait);
			return known != null && Standing.of(known).isSuspected(nowNanos, held(trait, nowNanos));
		}).toList();
	}

	/**
	 * Returns the traits of requests that may be sent again now because a crash cut them
	 * before their response, and that may crash the next target.
	 * @param nowNanos monotonic time
	 * @return the traits
	 */
	public Set<Long> repeatedTraits(long nowNanos) {
		Set<Long> repeated = new HashSet<>();
		this.suspects.stream()
			.filter((suspect) -> !suspect.answering() && nowNanos - suspect.nanos() < REPEAT_NANOS)
			.forEach((suspect) -> repeated.addAll(suspect.traits()));
		return repeated;
	}

	/**
	 * Returns whether a trait was in a crash.
	 * @param traits the traits
	 * @return whether one was, and was not served since
	 */
	public boolean hasEvidence(Collection<Long> traits) {
		return traits.stream().anyMatch(this.suspectsByTrait::containsKey);
	}

	/**
	 * Returns all traits under which several targets crashed. Requests with all of the
	 * traits that were in the same crashes are held back.
	 * @param nowNanos monotonic time
	 * @return the traits
	 */
	public Set<Long> quarantinedTraits(long nowNanos) {
		Set<Long> quarantined = new HashSet<>();
		this.suspectsByTrait.forEach((trait, known) -> {
			if (Standing.of(known).isQuarantined(nowNanos, held(trait, nowNanos))) {
				quarantined.add(trait);
			}
		});
		return quarantined;
	}

	/**
	 * Returns whether any trait is suspected or quarantined.
	 * @return whether there is evidence to send to other processes
	 */
	public boolean hasSuspicions() {
		return !this.suspects.isEmpty();
	}

	/**
	 * Returns the evidence to send to another process.
	 * @param max maximum number of records
	 * @param nowNanos monotonic time
	 * @return records of the newest crashes
	 */
	public List<CrashEvidence> evidence(int max, long nowNanos) {
		removeExpired(nowNanos);
		return newest(this.suspects, max, nowNanos);
	}

	/**
	 * Returns the evidence against some traits, to send to another process.
	 * @param traits the traits
	 * @param max maximum number of records
	 * @param nowNanos monotonic time
	 * @return records of the newest crashes
	 */
	public List<CrashEvidence> evidence(Collection<Long> traits, int max, long nowNanos) {
		Set<Suspect> known = new HashSet<>();
		traits.forEach((trait) -> known.addAll(this.suspectsByTrait.getOrDefault(trait, List.of())));
		return newest(known, max, nowNanos);
	}

	private static List<CrashEvidence> newest(Collection<Suspect> suspects, int max, long nowNanos) {
		return suspects.stream()
			.sorted(Comparator.comparingLong((suspect) -> -suspect.nanos()))
			.limit(max)
			.map((suspect) -> new CrashEvidence(List.copyOf(suspect.traits()), suspect.crash(), suspect.answering(),
					nowNanos - suspect.nanos()))
			.toList();
	}

	/**
	 * Returns the record that a trait was served.
	 * @param trait the trait
	 * @param nowNanos monotonic time
	 * @return the record, empty if it isn't known to have been served
	 */
	public Optional<ServedTrait> servedRecord(long trait, long nowNanos) {
		return Optional.ofNullable(this.servedNanos.get(trait))
			.map((served) -> new ServedTrait(trait, nowNanos - served));
	}

}
