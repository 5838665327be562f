package org.baobabknot.retry;

/**
 * Limits retries to a ratio of the first attempts, with a minimum rate for processes with
 * few requests. The ratio and the rate each have a token bucket. A retry is allowed while
 * either bucket has a token and takes one from both, so the total approaches the larger
 * of the two rates and not their sum. Thread-safe.
 */
public final class RetryBudget {

	private static final double NANOS_PER_SECOND = 1e9;

	/**
	 * Capacity of the token bucket of the ratio. It covers the requests in flight on one
	 * lost connection, but not a failing fleet.
	 */
	public static final int MAX_SAVED_RETRIES = 20;

	private final Object lock = new Object();

	private final double ratio;

	private final double minimumPerSecond;

	private double ratioTokens = MAX_SAVED_RETRIES;

	private double rateTokens;

	private long refilledNanos;

	private boolean refillStarted;

	/**
	 * Creates a budget with {@link #MAX_SAVED_RETRIES} tokens.
	 * @param ratio retries allowed for each first attempt
	 * @param minPerSecond retries allowed per second regardless of the number of first
	 * attempts
	 */
	public RetryBudget(double ratio, double minPerSecond) {
		this.ratio = ratio;
		this.minimumPerSecond = minPerSecond;
	}

	/**
	 * Counts a first attempt.
	 */
	public void deposit() {
		synchronized (this.lock) {
			this.ratioTokens = Math.min(MAX_SAVED_RETRIES, this.ratioTokens + this.ratio);
		}
	}

	/**
	 * Takes one retry out of the budget.
	 * @param nowNanos monotonic time
	 * @return whether the retry is allowed
	 */
	public boolean tryWithdraw(long nowNanos) {
		synchronized (this.lock) {
			refill(nowNanos);
			if (this.ratioTokens < 1 && this.rateTokens < 1) {
				return false;
			}
			this.ratioTokens = Math.max(0, this.ratioTokens - 1);
			this.rateTokens = Math.max(0, this.rateTokens - 1);
			return true;
		}
	}

	private void refill(long nowNanos) {
		if (!this.refillStarted) {
			this.refillStarted = true;
			this.refilledNanos = nowNanos;
		}
		double seconds = Math.max(0, nowNanos - this.refilledNanos) / NANOS_PER_SECOND;
		this.rateTokens = Math.min(Math.max(1, this.minimumPerSecond),
				this.rateTokens + seconds * this.minimumPerSecond);
		this.refilledNanos = nowNanos;
	}

}
