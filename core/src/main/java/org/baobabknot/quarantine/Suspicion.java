package org.baobabknot.quarantine;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * The crashes in which one part of a prompt was involved.
 */
final class Suspicion {

	/**
	 * Crashes with the part after which it is quarantined. A part that is rarely used is
	 * sometimes in one crash that has another cause; in two it is not, since requests are
	 * not repeated under suspicion.
	 */
	private static final int MIN_CRASHES = 2;

	/** Crashes of one part that are kept, the newest ones. */
	private static final int MAX_CRASHES = 8;

	/**
	 * Time within which crashes of several targets have one common cause, such as the
	 * power of a rack.
	 */
	private static final long COMMON_CAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

	private static final long MIN_QUARANTINE_NANOS = TimeUnit.SECONDS.toNanos(60);

	/** Doublings of the quarantine, one for each further crash. */
	private static final int MAX_DOUBLINGS = 4;

	/** Time for which a part stays suspected without a further crash. */
	private static final long SUSPICION_NANOS = TimeUnit.SECONDS.toNanos(60);

	private final Map<Long, Long> crashNanos = new HashMap<>();

	/**
	 * Adds a crash.
	 * @param crash id of the crash
	 * @param nanos monotonic time of the crash
	 * @return whether it was unknown
	 */
	boolean add(long crash, long nanos) {
		Long known = this.crashNanos.get(crash);
		if (known != null) {
			this.crashNanos.put(crash, Math.min(known, nanos));
			return false;
		}
		this.crashNanos.put(crash, nanos);
		if (this.crashNanos.size() > MAX_CRASHES) {
			long oldest = this.crashNanos.entrySet().stream().min(Map.Entry.comparingByValue()).orElseThrow().getKey();
			this.crashNanos.remove(oldest);
		}
		return true;
	}

	PromptVerdict verdict(long nowNanos) {
		long sinceLast = nowNanos - lastCrashNanos();
		int crashes = independentCrashes();
		if (crashes >= MIN_CRASHES && sinceLast < quarantineNanos(crashes)) {
			return PromptVerdict.QUARANTINED;
		}
		return (hasExpired(nowNanos)) ? PromptVerdict.UNKNOWN : PromptVerdict.SUSPECTED;
	}

	boolean hasExpired(long nowNanos) {
		int crashes = independentCrashes();
		long quarantine = (crashes >= MIN_CRASHES) ? quarantineNanos(crashes) : 0;
		return nowNanos - lastCrashNanos() >= quarantine + SUSPICION_NANOS;
	}

	long lastCrashNanos() {
		return this.crashNanos.values().stream().mapToLong(Long::longValue).max().orElseThrow();
	}

	void forEachCrash(LongConsumer action) {
		this.crashNanos.keySet().forEach(action::accept);
	}

	long nanosOf(long crash) {
		return this.crashNanos.get(crash);
	}

	private static long quarantineNanos(int crashes) {
		return MIN_QUARANTINE_NANOS << Math.min(MAX_DOUBLINGS, crashes - MIN_CRASHES);
	}

	private int independentCrashes() {
		long[] times = this.crashNanos.values().stream().mapToLong(Long::longValue).toArray();
		Arrays.sort(times);
		int count = 1;
		for (int index = 1; index < times.length; index++) {
			if (times[index] - times[index - 1] > COMMON_CAUSE_NANOS) {
				count++;
			}
		}
		return count;
	}

}
