package org.baobabknot.quarantine;

import java.util.Set;

/**
 * The right to run one request with suspected traits while no other request with any of
 * them runs in the fleet.
 */
public final class Trial {

	private final Set<Long> traits;

	private final long holder;

	private boolean running;

	private long endNanos;

	Trial(Set<Long> traits, long holder, long endNanos) {
		this.traits = Set.copyOf(traits);
		this.holder = holder;
		this.endNanos = endNanos;
	}

	/**
	 * Returns the claimed traits.
	 * @return the traits
	 */
	public Set<Long> traits() {
		return this.traits;
	}

	/**
	 * Returns the process that claims the trial.
	 * @return its id
	 */
	public long holder() {
		return this.holder;
	}

	/**
	 * Returns whether the request runs, so that no other claim can displace this one.
	 * @return false while other processes may still object
	 */
	public boolean running() {
		return this.running;
	}

	void start() {
		this.running = true;
	}

	boolean hasEnded(long nowNanos) {
		return nowNanos - this.endNanos >= 0;
	}

	void extend(long newEndNanos) {
		this.endNanos = newEndNanos;
	}

}
