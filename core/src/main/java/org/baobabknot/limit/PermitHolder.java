package org.baobabknot.limit;

import java.util.concurrent.TimeUnit;

/**
 * The permits of one process for one target, and the time after which it may get further
 * ones. Confined to one thread.
 */
public final class PermitHolder {

	/**
	 * Time for which a permit can be used, so that what is issued at the limited rate
	 * also arrives at that rate.
	 */
	private static final long VALIDITY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	private static final int MAX_DEMAND = 1_000;

	private int permits;

	private long expiryNanos;

	private boolean waits;

	private long retryNanos;

	private long demandNanos;

	private int demand;

	/**
	 * Uses a permit.
	 * @param nowNanos monotonic time
	 * @return whether there was one
	 */
	public boolean tryUse(long nowNanos) {
		countDemand(nowNanos);
		if (this.permits == 0 || nowNanos - this.expiryNanos >= 0) {
			this.permits = 0;
			return false;
		}
		this.permits--;
		return true;
	}

	private void countDemand(long nowNanos) {
		if (nowNanos - this.demandNanos > VALIDITY_NANOS) {
			this.demandNanos = nowNanos;
			this.demand = 0;
		}
		this.demand = Math.min(MAX_DEMAND, this.demand + 1);
	}

	/**
	 * Returns how many permits this process has use for.
	 * @return requests in the recent past, at least 1
	 */
	public int demand() {
		return Math.max(1, this.demand);
	}

	/**
	 * Records permits that were issued.
	 * @param count number of permits
	 * @param validNanos monotonic time from which they are valid
	 */
	public void add(int count, long validNanos) {
		this.permits += count;
		this.expiryNanos = validNanos + VALIDITY_NANOS;
	}

	/**
	 * Records when further permits may be issued.
	 * @param notBeforeNanos monotonic time
	 */
	public void retryAt(long notBeforeNanos) {
		this.waits = true;
		this.retryNanos = notBeforeNanos;
	}

	/**
	 * Returns the time until this process may get a permit.
	 * @param nowNanos monotonic time
	 * @return time in ms, 0 if it has one or may get one at once
	 */
	public double waitMs(long nowNanos) {
		boolean held = this.permits > 0 && nowNanos - this.expiryNanos < 0;
		return (held || !this.waits) ? 0
				: Math.max(0, this.retryNanos - nowNanos) / (double) TimeUnit.MILLISECONDS.toNanos(1);
	}

}
