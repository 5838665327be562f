package org.baobabknot.retry;

import java.util.concurrent.TimeUnit;

/**
 * Share of one process in the repeats that all processes together may send to a service.
 * In any window the fleet may send a ratio of its requests plus a fixed number. The ratio
 * is kept by each process against its own requests and the fixed number is divided among
 * the processes, so their sum keeps to the bound without messages between them. Answers
 * the load of an outage, when every process wants to repeat at the same moment. Confined
 * to one thread.
 */
public final class FleetRetryBudget {

	/** Parts of a window that are counted apart; a window is kept to one part. */
	private static final int INTERVALS_PER_WINDOW = 20;

	private final double ratio;

	private final double fixedRetries;

	private final long intervalNanos;

	private final int[] requestsByInterval = new int[INTERVALS_PER_WINDOW + 1];

	private final int[] retriesByInterval = new int[INTERVALS_PER_WINDOW + 1];

	private long currentInterval = Long.MIN_VALUE;

	/**
	 * Creates a budget.
	 * @param ratio repeats allowed for each request
	 * @param fixedRetries repeats allowed in a window to all processes together beside
	 * that
	 * @param windowMs length of the window, in ms
	 */
	public FleetRetryBudget(double ratio, double fixedRetries, long windowMs) {
		this.ratio = ratio;
		this.fixedRetries = fixedRetries;
		this.intervalNanos = Math.max(1, TimeUnit.MILLISECONDS.toNanos(windowMs) / INTERVALS_PER_WINDOW);
	}

	/**
	 * Counts a request of a caller.
	 * @param nowNanos monotonic time
	 */
	public void deposit(long nowNanos) {
		this.requestsByInterval[advanceTo(nowNanos)]++;
	}

	/**
	 * Takes one repeat out of the budget.
	 * @param processes processes that share the fixed number, at least 1
	 * @param nowNanos monotonic time
	 * @return whether the repeat is allowed
	 */
	public boolean tryWithdraw(int processes, long nowNanos) {
		int currentIndex = advanceTo(nowNanos);
		int retries = 0;
		// The oldest part lies partly outside of the window: its repeats count, its
		// requests don't.
		int requests = -this.requestsByInterval[Math.floorMod(this.currentInterval - INTERVALS_PER_WINDOW,
				INTERVALS_PER_WINDOW + 1)];
		for (int index = 0; index <= INTERVALS_PER_WINDOW; index++) {
			retries += this.retriesByInterval[index];
			requests += this.requestsByInterval[index];
		}
		if (retries + 1 > this.ratio * requests + this.fixedRetries / processes) {
			return false;
		}
		this.retriesByInterval[currentIndex]++;
		return true;
	}

	private int advanceTo(long nowNanos) {
		long nowInterval = Math.floorDiv(nowNanos, this.intervalNanos);
		if (this.currentInterval == Long.MIN_VALUE || nowInterval - this.currentInterval > INTERVALS_PER_WINDOW) {
			clear(0, INTERVALS_PER_WINDOW);
		}
		else {
			for (long interval = this.currentInterval + 1; interval <= nowInterval; interval++) {
				int index = Math.floorMod(interval, INTERVALS_PER_WINDOW + 1);
				clear(index, index);
			}
		}
		this.currentInterval = Math.max(this.currentInterval, nowInterval);
		return Math.floorMod(this.currentInterval, INTERVALS_PER_WINDOW + 1);
	}

	private void clear(int first, int last) {
		for (int index = first; index <= last; index++) {
			this.requestsByInterval[index] = 0;
			this.retriesByInterval[index] = 0;
		}
	}

}
