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
	private static final int SLOW = 16;

	private final double start;

	/**
	 * Spreads the slow growth over the fleet, so that one agent tries and the others see
	 * what it got.
	 */
	private final double phase;

	private final double most;

	private final long timeoutNanos;

	private final long startNanos;

	private int used;

	OriginBudget(DistributionSettings settings, int chunks, int agents, double rounding, long nowNanos) {
		this.phase = rounding;
		double share = (double) chunks / agents;
		// Shares below one chunk are rounded at random, so that their sum over the
		// fleet stays right.
		this.start = Math.floor(settings.extraCopies() * share + rounding);
		this.most = Math.floor(settings.mostExtraCopies() * share + rounding);
		this.timeoutNanos = settings.stallNanos();
		this.startNanos = nowNanos;
	}

	boolean allows(long nowNanos) {
		long timeouts = Math.floorDiv(nowNanos - this.startNanos, this.timeoutNanos);
		return this.used < Math.min(this.most, this.start + timeouts)
				+ Math.floor((double) timeouts / SLOW + this.phase);
	}

	void use() {
		this.used++;
	}

	// A fetch that reached no origin cost no bytes there.
	void giveBack() {
		this.used = Math.max(0, this.used - 1);
	}

}
