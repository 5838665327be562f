package org.baobabknot.quarantine;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

/**
 * Trials that the processes of the fleet claim. A process announces its claim to all
 * others, waits for objections for the time that a message takes, and starts its request
 * unless a running trial or a claim of a process with a lower id names one of the same
 * traits. Lost messages can let two trials run; each is still evidence. Confined to one
 * thread.
 */
public final class TrialTable {

	/** Time after which a trial whose end was not announced counts as ended. */
	private static final long MAX_TRIAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

	private static final int MAX_CLAIMED_TRAITS = 1_024;

	private final long self;

	private final Map<Long, Trial> byTrait = new HashMap<>();

	/**
	 * Creates an empty table.
	 * @param self id of this process
	 */
	public TrialTable(long self) {
		this.self = self;
	}

	/**
	 * Claims a trial unless another one is claimed or runs. The claim must be announced
	 * to the other processes.
	 * @param traits the suspected traits of a request
	 * @param nowNanos monotonic time
	 * @return the claim, empty if the request has to come back later
	 */
	public Optional<Trial> tryClaim(Collection<Long> traits, long nowNanos) {
		removeEnded(nowNanos);
		if (traits.stream().anyMatch(this.byTrait::containsKey) || this.byTrait.size() >= MAX_CLAIMED_TRAITS) {
			return Optional.empty();
		}
		Trial claim = new Trial(new HashSet<>(traits), this.self, nowNanos + MAX_TRIAL_NANOS);
		claim.traits().forEach((trait) -> this.byTrait.put(trait, claim));
		return Optional.of(claim);
	}

	/**
	 * Starts a claimed trial after the time for objections.
	 * @param claim the claim
	 * @param nowNanos monotonic time
	 * @return whether the request may run
	 */
	public boolean tryStart(Trial claim, long nowNanos) {
		boolean held = claim.traits().stream().allMatch((trait) -> this.byTrait.get(trait) == claim);
		if (held) {
			claim.start();
			claim.extend(nowNanos + MAX_TRIAL_NANOS);
		}
		else {
			release(claim);
		}
		return held;
	}

	/**
	 * Ends a trial of this process. The end should be announced.
	 * @param claim the claim or running trial
	 */
	public void release(Trial claim) {
		claim.traits().forEach((trait) -> this.byTrait.remove(trait, claim));
	}

	/**
	 * Adds the claim of another process.
	 * @param holder id of the other process
	 * @param traits claimed traits
	 * @param running whether its request runs
	 * @param nowNanos monotonic time
	 * @return the trial of this process that displaces it and has to be announced to the
	 * other process
	 */
	public Optional<Trial> merge(long holder, Collection<Long> traits, boolean running, long nowNanos) {
		removeEnded(nowNanos);
		if (holder == this.self || traits.isEmpty() || traits.size() > MAX_CLAIMED_TRAITS - this.byTrait.size()) {
			return Optional.empty();
		}
		for (Long trait : traits) {
			@Nullable Trial own = this.byTrait.get(trait);
			if (own != null && own.holder() == this.self
					&& (own.running() || (!running && Long.compareUnsigned(this.self, holder) < 0))) {
				return Optional.of(own);
			}
		}
		Set<Long> claimed = new HashSet<>(traits);
		Trial foreign = new Trial(claimed, holder, nowNanos + MAX_TRIAL_NANOS);
		if (running) {
			foreign.start();
		}
		claimed.forEach((trait) -> this.byTrait.put(trait, foreign));
		return Optional.empty();
	}

	/**
	 * Records that another process has ended its trial.
	 * @param holder id of the other process
	 * @param traits traits of the trial
	 */
	public void mergeEnd(long holder, Collection<Long> traits) {
		traits.forEach((trait) -> {
			Trial known = this.byTrait.get(trait);
			if (known != null && known.holder() == holder && holder != this.self) {
				this.byTrait.remove(trait);
			}
		});
	}

	private void removeEnded(long nowNanos) {
		this.byTrait.values().removeIf((trial) -> trial.hasEnded(nowNanos));
	}

}
