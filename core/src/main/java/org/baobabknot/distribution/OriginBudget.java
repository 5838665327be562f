package org.baobabknot.distribution;

/**
 * Chunks that one agent may fetch from the origin beyond those that it fetches for the
 * fleet. It starts with its share of the extra copies and gains one chunk per time-out,
 * up to its share of the bound.
 */
final class OriginBudget {

	/**
	 * Time-outs for each chunk beyond the bound. With a firm bound a chunk that was
	 * corrupt at every try would never arrive.
	 */
	private static final int TIMEOUTS_PER_EXTRA_CHUNK = 16;

	private final double initialChunks;

	/**
	 * Spreads the slow growth over the fleet, so that one agent tries and the others see
	 * what it got.
	 */
	private final double growthPhase;

	private final double maxChunks;

	private final long timeoutNanos;

	private final long startNanos;

	private int usedChunks;

	OriginBudget(DistributionSettings settings, int chunks, int agents, double rounding, long nowNanos) {
		this.growthPhase = rounding;
		double share = (double) chunks / agents;
		// Shares below one chunk are rounded at random, so that their sum over the
		// fleet stays right.
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

	// A fetch that reached no origin cost no bytes there.
	void refund() {
		this.usedChunks = Math.max(0, this.usedChunks - 1);
	}

}
