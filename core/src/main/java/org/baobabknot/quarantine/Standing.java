package org.baobabknot.quarantine;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * What the crashes in which one trait was involved say about it. Crashes of several
 * targets within a short time have one common cause and count as one.
 *
 * @param targets number of targets that crashed
 * @param crashes number of independent crashes
 * @param weight weight of the evidence of all crashes
 * @param lastNanos monotonic time of the last crash
 */
record Standing(int targets, int crashes, int weight, long lastNanos) {

	/**
	 * Weight of a crash before the first byte of a response. The request that ends a
	 * target is usually one that it has just begun.
	 */
	private static final int WEIGHT_BEFORE_ANSWER = 3;

	/** Weight of a crash in the middle of a response. */
	private static final int WEIGHT_IN_ANSWER = 2;

	/** Weight from which a trait is suspected: one crash before the response, or two. */
	private static final int MIN_SUSPECTED = 3;

	/**
	 * Weight from which a trait is quarantined: two crashes before the response, or
	 * three.
	 */
	private static final int MIN_QUARANTINED = 6;

	/**
	 * Time within which crashes of several targets have one common cause, such as the
	 * power of a rack.
	 */
	private static final long COMMON_CAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

	private static final long MIN_QUARANTINE_NANOS = TimeUnit.SECONDS.toNanos(60);

	private static final int MIN_CRASHES = 2;

	/**
	 * Crashed targets from which no request is tried any more while such requests still
	 * come.
	 */
	private static final int MAX_TARGETS = 5;

	/** Time for which a trait stays suspected without a further crash. */
	private static final long SUSPICION_NANOS = TimeUnit.SECONDS.toNanos(60);

	/** Time without a request after which a quarantine without trials ends. */
	private static final long QUIET_NANOS = TimeUnit.HOURS.toNanos(1);

	static Standing of(Collection<Suspect> suspects) {
		List<Suspect> ordered = suspects.stream().sorted(Comparator.comparingLong(Suspect::nanos)).toList();
		int crashes = 0;
		int weight = 0;
		int heaviest = 0;
		long previousNanos = 0;
		for (Suspect suspect : ordered) {
			if (crashes == 0 || suspect.nanos() - previousNanos > COMMON_CAUSE_NANOS) {
				crashes++;
				weight += heaviest;
				heaviest = 0;
			}
			heaviest = Math.max(heaviest, (suspect.answering()) ? WEIGHT_IN_ANSWER : WEIGHT_BEFORE_ANSWER);
			previousNanos = suspect.nanos();
		}
		int targets = (int) suspects.stream().mapToLong(Suspect::crash).distinct().count();
		return new Standing(targets, crashes, weight + heaviest, previousNanos);
	}

	/**
	 * Finds the traits that can't be told from one trait by the evidence: in each crash
	 * some request had both.
	 * @param trait the trait
	 * @param suspects the requests with it
	 * @return the traits, with the given one
	 */
	static Set<Long> companions(long trait, Collection<Suspect> suspects) {
		Set<Long> common = new HashSet<>();
		boolean first = true;
		for (long crash : suspects.stream().map(Suspect::crash).distinct().toList()) {
			Set<Long> together = new HashSet<>();
			suspects.stream()
				.filter((suspect) -> suspect.crash() == crash)
				.forEach((suspect) -> together.addAll(suspect.traits()));
			if (first) {
				common.addAll(together);
				first = false;
			}
			else {
				common.retainAll(together);
			}
		}
		common.add(trait);
		return common;
	}

	boolean isSuspected(long nowNanos, long heldNanos) {
		return this.weight >= MIN_SUSPECTED && !hasExpired(nowNanos, heldNanos);
	}

	/**
	 * Returns whether requests with the trait and all its companions are held back.
	 * @param nowNanos monotonic time
	 * @param heldNanos monotonic time at which such a request last came, at most
	 * {@code nowNanos}
	 * @return whether they are
	 */
	boolean isQuarantined(long nowNanos, long heldNanos) {
		return this.weight >= MIN_QUARANTINED && nowNanos - lastNanos(heldNanos) < quarantineNanos();
	}

	boolean hasExpired(long nowNanos, long heldNanos) {
		long quarantine = (this.weight >= MIN_QUARANTINED) ? quarantineNanos() : 0;
		return nowNanos - lastNanos(heldNanos) >= quarantine + SUSPICION_NANOS;
	}

	private boolean hasNoTrials() {
		return this.targets >= MAX_TARGETS && this.weight >= MIN_QUARANTINED;
	}

	private long lastNanos(long heldNanos) {
		return (hasNoTrials() && heldNanos - this.lastNanos > 0) ? heldNanos : this.lastNanos;
	}

	private long quarantineNanos() {
		return (hasNoTrials()) ? QUIET_NANOS : MIN_QUARANTINE_NANOS << Math.max(0, this.crashes - MIN_CRASHES);
	}

}
