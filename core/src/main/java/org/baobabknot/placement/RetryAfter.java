package org.baobabknot.placement;

import java.util.random.RandomGenerator;

/**
 * Policies for the delay after which a refused caller should retry. A caller usually
 * retries once, so the delay is chosen for this retry to succeed, and the retries of
 * callers that were refused together are spread over time.
 */
public enum RetryAfter {

	/**
	 * Only this process can't serve the request. Another process, chosen by the load
	 * balancer in front, probably can and in time, so the delay is short.
	 */
	ELSEWHERE {
		@Override
		public long delayMs(double waitMs, long leftMs, RandomGenerator random) {
			return Math.min(maxDelayMs(leftMs), MIN_DELAY_MS + random.nextInt((int) MIN_DELAY_MS));
		}
	},

	/**
	 * The targets can't serve the request for now. The response will be late in any case,
	 * so the caller retries when most of the predicted wait is over, or as late as leaves
	 * time for the retry to complete.
	 */
	LATER {
		@Override
		public long delayMs(double waitMs, long leftMs, RandomGenerator random) {
			long most = maxDelayMs(leftMs);
			double soonest = Math.min(most * SPREAD_START_RATIO, Math.max(MIN_DELAY_MS, waitMs));
			return Math.max(1, Math.round(soonest + random.nextDouble() * (most - soonest)));
		}
	},

	/**
	 * All targets have asked for a rest, or their limits are used up. A retry before the
	 * end of the wait is refused again, so callers retry after it, or as late as leaves
	 * time for the retry to complete.
	 */
	AFTER_REST {
		@Override
		public long delayMs(double waitMs, long leftMs, RandomGenerator random) {
			long most = maxDelayMs(leftMs);
			double soonest = Math.min(most, Math.max(MIN_DELAY_MS, waitMs));
			return Math.max(1, Math.round(soonest + random.nextDouble() * (most - soonest)));
		}
	};

	/** Time that a load balancer needs to pass a new connection to another process. */
	private static final long MIN_DELAY_MS = 20;

	/**
	 * Longest delay, as a part of the time that the caller has left. Two thirds remain
	 * for the retry.
	 */
	private static final double MAX_DELAY_RATIO = 0.32;

	/** Part of the longest delay after which the first callers retry at the latest. */
	private static final double SPREAD_START_RATIO = 0.4;

	/**
	 * Returns the delay after which a caller should retry.
	 * @param waitMs predicted time until a target has a free slot, in ms
	 * @param leftMs time that the caller has left, in ms
	 * @param random source of the random part of the delay
	 * @return delay in ms, at least 1
	 */
	public abstract long delayMs(double waitMs, long leftMs, RandomGenerator random);

	private static long maxDelayMs(long leftMs) {
		return Math.max(1, (long) (leftMs * MAX_DELAY_RATIO));
	}

}
