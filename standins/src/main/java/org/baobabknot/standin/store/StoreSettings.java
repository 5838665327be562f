package org.baobabknot.standin.store;

/**
 * Settings of the store stand-in.
 *
 * @param readsPerSecond reads and watches accepted per second
 * @param writesPerSecond writes and lease calls accepted per second
 */
public record StoreSettings(int readsPerSecond, int writesPerSecond) {

	/**
	 * Returns settings with the rate limits of the store of the platform.
	 * @return 2,000 reads and 500 writes a second
	 */
	public static StoreSettings defaults() {
		return new StoreSettings(2_000, 500);
	}

}
