package org.baobabknot.attempt;

import java.util.Collections;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Limits of the attempts of one request, and the targets that it was at. Operators limit
 * the targets that may run a request. A sound target that was left because another one
 * went on first may be asked again without being a further one. Confined to one thread.
 */
public final class AttemptLimits {

	/**
	 * Attempts that cost no target any work, such as addresses that belong to another
	 * target.
	 */
	private static final int MAX_NOT_RUN = 4;

	/** Targets whose crash one request finds out before it is refused. */
	private static final int MAX_REFUSED_CONNECTIONS = 16;

	/** Targets whose limits one request finds used up before it goes to one without. */
	private static final int MAX_LIMITS_REACHED = 4;

	/** Time from a try to leave a silent target to the next one, doubled by each. */
	private static final long FIRST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

	private final Set<String> tried = new HashSet<>();

	private final Set<String> left = new HashSet<>();

	private final Set<String> limited = new HashSet<>();

	/** Targets that may have run the request. */
	private int targets;

	private int returns;

	private int notRun;

	private int refusedConnections;

	private long nextTryNanos;

	private long pauseNanos = FIRST_PAUSE_NANOS;

	/**
	 * Creates the limits of a request that was at no target.
	 * @param nowNanos monotonic time
	 */
	public AttemptLimits(long nowNanos) {
		this.nextTryNanos = nowNanos;
	}

	/**
	 * Returns whether the request was at a target before, so that it may have run there
	 * whatever a new attempt states.
	 * @param target id of the target
	 * @return whether an attempt there is a return
	 */
	public boolean isReturn(String target) {
		return this.tried.contains(target);
	}

	/**
	 * Records an attempt.
	 * @param target id of its target
	 */
	public void recordSent(String target) {
		this.left.remove(target);
		if (this.tried.add(target)) {
			this.targets++;
		}
		else {
			this.returns++;
		}
	}

	/**
	 * Records that a target was left because another one went on first. It has not
	 * failed.
	 * @param target id of the target
	 */
	public void recordLeft(String target) {
		this.left.add(target);
	}

	/**
	 * Records that an attempt has not run and never will.
	 * @param wasReturn whether the request was at its target before
	 * @param costsTarget whether it may have cost the target work; a refused connection
	 * does not
	 */
	public void recordNotRun(boolean wasReturn, boolean costsTarget) {
		this.targets -= (wasReturn) ? 0 : 1;
		this.notRun++;
		this.refusedConnections += (costsTarget) ? 0 : 1;
	}

	/**
	 * Records that the limit which a target states is used up for the request.
	 * @param target id of the target
	 */
	public void recordLimited(String target) {
		this.limited.add(target);
	}

	/**
	 * Allows targets to be asked again whose limits were used up.
	 */
	public void clearLimited() {
		this.limited.clear();
	}

	/**
	 * Records a try to leave a silent target, after which the next one waits longer.
	 * @param nowNanos monotonic time
	 */
	public void recordTryToLeave(long nowNanos) {
		this.nextTryNanos = nowNanos + this.pauseNanos;
		this.pauseNanos *= 2;
	}

	/**
	 * Returns whether a silent target may be left now.
	 * @param nowNanos monotonic time
	 * @return whether the pause after the last try is over
	 */
	public boolean allowsTryToLeave(long nowNanos) {
		return nowNanos - this.nextTryNanos >= 0;
	}

	/**
	 * Returns whether a target that was not tried may be asked.
	 * @param maxTargets targets that the operators allow
	 * @return whether it may
	 */
	public boolean allowsFurtherTarget(int maxTargets) {
		return this.targets < maxTargets;
	}

	/**
	 * Returns whether a target that was left may be asked again. Between slow targets,
	 * each return costs the whole request once more for a part of the response, so they
	 * are limited too.
	 * @param maxTargets targets that the operators allow
	 * @return whether there is one and it may
	 */
	public boolean allowsReturn(int maxTargets) {
		return !this.left.isEmpty() && this.returns < maxTargets;
	}

	/**
	 * Returns whether another target may be asked, a further one or one that was left.
	 * @param maxTargets targets that the operators allow
	 * @return whether it may
	 */
	public boolean allowsAnotherTarget(int maxTargets) {
		return allowsFurtherTarget(maxTargets) || allowsReturn(maxTargets);
	}

	/**
	 * Returns whether the request may go on after attempts that have not run.
	 * @param costsTarget whether the last one may have cost its target work
	 * @return whether it may
	 */
	public boolean allowsAfterNotRun(boolean costsTarget) {
		return (costsTarget) ? this.notRun - this.refusedConnections <= MAX_NOT_RUN
				: this.refusedConnections <= MAX_REFUSED_CONNECTIONS;
	}

	/**
	 * Returns whether a silent target may be left after the attempts that have not run.
	 * @return whether it may
	 */
	public boolean allowsLeaving() {
		return this.notRun <= MAX_NOT_RUN;
	}

	/**
	 * Returns whether targets that state limits may be asked.
	 * @return false after too many whose limits were used up
	 */
	public boolean allowsLimitedTargets() {
		return this.limited.size() < MAX_LIMITS_REACHED;
	}

	/**
	 * Returns whether the request was sent to no target and refused by none.
	 * @return whether no attempt was made
	 */
	public boolean isUntried() {
		return this.targets == 0 && this.notRun == 0;
	}

	/**
	 * Returns the number of attempts, those that have not run among them.
	 * @return the number
	 */
	public int sends() {
		return this.targets + this.notRun + this.returns;
	}

	/**
	 * Returns the targets that the request was sent to.
	 * @return their ids
	 */
	public Set<String> tried() {
		return Collections.unmodifiableSet(this.tried);
	}

	/**
	 * Returns the targets that were left and not asked again since.
	 * @return their ids
	 */
	public Set<String> left() {
		return Collections.unmodifiableSet(this.left);
	}

	/**
	 * Returns the targets whose limits are used up for the request.
	 * @return their ids
	 */
	public Set<String> limited() {
		return Collections.unmodifiableSet(this.limited);
	}

}
