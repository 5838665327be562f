package org.baobabknot.retry;

import java.util.concurrent.TimeUnit;

/**
 * One process's part of the retries that all processes together may send to a service in
 * any window: a ratio of their requests plus a fixed number. Each process applies the
 * ratio to its own requests and takes an equal part of the fixed number, so the total is
 * bounded without messages between the processes. The bound limits the load in an outage,
 * when all processes retry at the same time. Not thread-safe.
 */
public final class FleetRetryBudget {

	/**
	 * Intervals of a window, each with its own counters. The window is accurate to one
	 * interval.
	 */
	private static final int INTERVALS_PER_WINDOW = 20;

	private final double ratio;

	private final double fixedRetries;

	private final long intervalNanos;

	private final int[] requestsByInterval = new int[INTERVALS_PER_WINDOW + 1];

	private final int[] retriesByInterval = new int[INTERVALS_PER_WINDOW + 1];

	private long currentInterval = Long.MIN_VALUE;

	/**
	 * Creates a budget.
	 * @param ratio retries allowed for each request
	 * @param fixedRetries further retries allowed per window to all processes together
	 * @param windowMs length of the window, in ms
	 */
	public FleetRetryBudget(double ratio, double fixedRetries, long windowMs) {
		this.ratio = ratio;
		this.fixedRetries = fixedRetries;
		this.intervalNanos = Math.max(1, TimeUnit.MILLISECONDS.toNanos(windowMs) / INTERVALS_PER_WINDOW);
	}

	/**
	 * Counts a caller's request.
	 * @param nowNanos monotonic time
	 */
	public void deposit(long nowNanos) {
		this.requestsByInterval[advanceTo(nowNanos)]++;
	}

	/**
	 * Takes one retry out of the budget.
	 * @param processes number of processes that share the fixed number of retries, at
	 * least 1
	 * @param nowNanos monotonic time
	 * @return whether the retry is allowed
	 */
	public boolean tryWithdraw(int processes, long nowNanos) {
		boolean allowed = allows(processes, nowNanos);
		if (allowed) {
			this.retriesByInterval[advanceTo(nowNanos)]++;
		}
		return allowed;
	}

	/**
	 * Returns whether the budget has a retry, without taking it.
	 * @param processes number of processes that share the fixed number of retries, at
	 * least 1
	 * @param nowNanos monotonic time
	 * @return whether a retry is allowed
	 */
	public boolean allows(int processes, long nowNanos) {
		advanceTo(nowNanos);
		int retries = 0;
		// The oldest interval is partly outside of the window, so its retries are counted
		// but its requests are not.
		int requests = -this.requestsByInterval[Math.floorMod(this.currentInterval - INTERVALS_PER_WINDOW,
				INTERVALS_PER_WINDOW + 1)];
		for (int index = 0; index <= INTERVALS_PER_WINDOW; index++) {
			retries += this.retriesByInterval[index];
			requests += this.requestsByInterval[index];
		}
		return retries + 1 <= this.ratio * requests + this.fixedRetries / processes;
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
