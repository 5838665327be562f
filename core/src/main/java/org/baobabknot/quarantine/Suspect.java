package org.baobabknot.quarantine;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A request that was at a target that crashed, with the traits that are not known to be
 * harmless.
 */
final class Suspect {

	private final Set<Long> traits;

	private final long crash;

	private final boolean answering;

	private long nanos;

	Suspect(List<Long> traits, long crash, boolean answering, long nanos) {
		this.traits = new HashSet<>(traits);
		this.crash = crash;
		this.answering = answering;
		this.nanos = nanos;
	}

	Set<Long> traits() {
		return this.traits;
	}

	long crash() {
		return this.crash;
	}

	boolean answering() {
		return this.answering;
	}

	/**
	 * Returns when the target crashed.
	 * @return monotonic time in nanoseconds
	 */
	long nanos() {
		return this.nanos;
	}

	// Relayed evidence is late, never early.
	void observedAt(long observedNanos) {
		this.nanos = Math.min(this.nanos, observedNanos);
	}

}
