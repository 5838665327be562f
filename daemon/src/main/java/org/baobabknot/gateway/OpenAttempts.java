package org.baobabknot.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * The attempts of one request that may still bring its response: the current one, and
 * earlier ones whose targets are silent and may go on at any moment. The first one that
 * makes progress is kept. Confined to one event loop.
 */
final class OpenAttempts {

	private @Nullable TargetAttempt current;

	/** Attempts whose targets are silent, the latest one last. */
	private final ArrayDeque<TargetAttempt> silent = new ArrayDeque<>();

	/** Attempts whose targets were silent once. */
	private final Set<TargetAttempt> onceSilent = new HashSet<>();

	/**
	 * Returns the attempt that was started or waited for last.
	 * @return the attempt, null if none is open or the next one is not yet sent
	 */
	@Nullable TargetAttempt current() {
		return this.current;
	}

	void start(TargetAttempt attempt) {
		this.current = attempt;
	}

	/**
	 * Keeps the current attempt open while another target is tried.
	 */
	void setCurrentAside() {
		TargetAttempt attempt = this.current;
		if (attempt != null) {
			this.silent.add(attempt);
			this.onceSilent.add(attempt);
			this.current = null;
		}
	}

	/**
	 * Waits for the latest silent target again, because no other one can be tried.
	 * @return whether there is one
	 */
	boolean waitAgain() {
		this.current = this.silent.pollLast();
		return this.current != null;
	}

	boolean contains(TargetAttempt attempt) {
		return attempt == this.current || this.silent.contains(attempt);
	}

	/**
	 * Removes an attempt that has ended.
	 * @param attempt the attempt
	 * @return whether it was the current one, so that the request has to go on otherwise
	 */
	boolean remove(TargetAttempt attempt) {
		if (attempt == this.current) {
			this.current = null;
			return true;
		}
		this.silent.remove(attempt);
		return false;
	}

	/**
	 * Removes all attempts but one, which becomes the current one.
	 * @param attempt the attempt that has made progress
	 * @return the removed attempts
	 */
	List<TargetAttempt> keepOnly(TargetAttempt attempt) {
		List<TargetAttempt> others = all();
		others.remove(attempt);
		this.silent.clear();
		this.current = attempt;
		return others;
	}

	/**
	 * Removes all attempts.
	 * @return the removed attempts
	 */
	List<TargetAttempt> removeAll() {
		List<TargetAttempt> removed = all();
		this.silent.clear();
		this.current = null;
		return removed;
	}

	/**
	 * Returns the attempts whose targets are or were silent.
	 * @return those that are open
	 */
	List<TargetAttempt> onceSilent() {
		return all().stream().filter(this.onceSilent::contains).toList();
	}

	/**
	 * Returns the open attempts.
	 * @return the attempts, the current one last
	 */
	List<TargetAttempt> all() {
		List<TargetAttempt> open = new ArrayList<>(this.silent);
		if (this.current != null) {
			open.add(this.current);
		}
		return open;
	}

}
