package org.baobabknot.fleet;

import java.util.concurrent.TimeUnit;

/**
 * Rates of calls that the store takes from all processes together. Gives the times over
 * which the processes spread calls that each of them sends once after the same event.
 *
 * @param writesPerSecond writing calls a second, 0 if it is not known
 * @param readsPerSecond reading calls a second, 0 if it is not known
 */
public record StoreRates(int writesPerSecond, int readsPerSecond) {

	/** Of a store whose rates are not known. */
	public static final StoreRates UNKNOWN = new StoreRates(0, 0);

	private static final long MIN_SPREAD_MS = 500;

	/**
	 * Part of a rate that such calls use, so that the store takes other calls as well.
	 */
	private static final double USED_RATIO = 0.5;

	/**
	 * Returns the time over which processes spread writing calls.
	 * @param calls number of calls of all processes
	 * @return time in ms
	 */
	public long writesSpreadMs(int calls) {
		return spreadMs(calls, this.writesPerSecond);
	}

	/**
	 * Returns the time over which processes spread reading calls.
	 * @param calls number of calls of all processes
	 * @return time in ms
	 */
	public long readsSpreadMs(int calls) {
		return spreadMs(calls, this.readsPerSecond);
	}

	private static long spreadMs(int calls, int perSecond) {
		if (perSecond <= 0) {
			return MIN_SPREAD_MS;
		}
		return Math.max(MIN_SPREAD_MS, (long) (calls * TimeUnit.SECONDS.toMillis(1) / (perSecond * USED_RATIO)));
	}

}
