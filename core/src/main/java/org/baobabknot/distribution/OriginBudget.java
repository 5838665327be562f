package org.baobabknot.distribution;

/**
 * Budget of chunks that one agent may fetch from the origin beyond those that it fetches
 * for the fleet. It starts with the agent's share of the initial extra copies and grows
 * by one chunk per stall timeout, up to the agent's share of the maximum.
 */
final class OriginBudget {

	/**
	 * Stall timeouts per chunk beyond the maximum. With a strict maximum, a chunk that
	 * was corrupt in every fetch would never arrive.
	 */
	private static final int TIMEOUTS_PER_EXTRA_CHUNK = 16;

	private final double initialChunks;

	/**
	 * Spreads the growth beyond the maximum over the fleet, from 0 to 1, so that one
	 * agent tries first and the others get the chunk from it.
	 */
	private final double growthPhase;

	private final double maxChunks;

	private final long timeoutNanos;

	private final long startNanos;

	private int usedChunks;

	OriginBudget(DistributionSettings settings, int chunks, int agents, double rounding, long nowNanos) {
		this.growthPhase = rounding;
		double share = (double) chunks / agents;
		// Shares below one chunk are rounded at random, so that their sum over the fleet
		// is right on average.
		this.initialChunks = Math.floor(settings.initialExtraCopies() * share + rounding);
		this.maxChunks = Math.floor(settings.maxExtraCopies() * share + rounding);
		this.timeoutNanos = settings.stallTimeoutNanos();
		this.startNanos = nowNanos;
	}

	boolean allows(long nowNanos) {
		long timeouts = Math.floorDiv(nowNanos - this.startNanos, this.timeoutNanos);
		return this.usedChunks < Math.min(this.maxChunks, this.initialChunks + timeouts)
				+ Math.floor((double) timeouts / TIMEOUTS_PER_EXTRA_CHUNK + this.growthPhase);
	}

	void consume() {
		this.usedChunks++;
	}

	// Returns a chunk to the budget. A fetch that did not reach the origin cost it no
	// bytes.
	void refund() {
		this.usedChunks = Math.max(0, this.usedChunks - 1);
	}

}
