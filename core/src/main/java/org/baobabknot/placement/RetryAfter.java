package org.baobabknot.placement;

import java.util.random.RandomGenerator;

/**
 * When a caller that was refused should come back. A caller usually has one more try, so
 * the time is chosen for the try to succeed, and callers that were refused together come
 * back spread out.
 */
public enum RetryAfter {

	/**
	 * Only this process can't serve: another one that the balancer chooses probably can,
	 * and soon enough for a timely answer.
	 */
	PROCESS_UNAVAILABLE {
		@Override
		public long delayMs(double waitMs, long leftMs, RandomGenerator random) {
			return Math.min(maxDelayMs(leftMs), MIN_DELAY_MS + random.nextInt((int) MIN_DELAY_MS));
		}
	},

	/**
	 * The targets can't serve for now. The answer will be late in any case, so the caller
	 * comes back when most of the wait is over, or as late as leaves it time to be
	 * served.
	 */
	TARGETS_UNAVAILABLE {
		@Override
		public long delayMs(double waitMs, long leftMs, RandomGenerator random) {
			long most = maxDelayMs(leftMs);
			double soonest = Math.min(most * SPREAD_START_RATIO, Math.max(MIN_DELAY_MS, waitMs));
			return Math.max(1, Math.round(soonest + random.nextDouble() * (most - soonest)));
		}
	};

	/** Time in which a balancer has another process take a new connection, in ms. */
	private static final long MIN_DELAY_MS = 20;

	/**
	 * Longest time, as a part of the time that the caller has left. Two thirds remain for
	 * its next try.
	 */
	private static final double MAX_DELAY_RATIO = 0.32;

	/** Part of that time after which the first callers come back. */
	private static final double SPREAD_START_RATIO = 0.4;

	/**
	 * Returns when a caller should come back.
	 * @param waitMs predicted time until there is room, in ms
	 * @param leftMs time that the caller has left, in ms
	 * @param random source of the spread
	 * @return time in ms, at least 1
	 */
	public abstract long delayMs(double waitMs, long leftMs, RandomGenerator random);

	private static long maxDelayMs(long leftMs) {
		return Math.max(1, (long) (leftMs * MAX_DELAY_RATIO));
	}

}
