package org.baobabknot.time;

import java.util.function.LongSupplier;

/**
 * Hybrid logical clock. A reading packs 48 bits of milliseconds and a 16-bit counter, so
 * that readings compare as numbers, always increase, and are above every reading that was
 * observed before. Thread-safe.
 */
public final class HybridClock {

	private static final int COUNTER_BITS = 16;

	private final LongSupplier wallMillis;

	private long lastReading;

	/**
	 * Creates a clock.
	 * @param wallMillis wall time in milliseconds since the epoch; it may step backwards
	 */
	public HybridClock(LongSupplier wallMillis) {
		this.wallMillis = wallMillis;
	}

	/**
	 * Returns a reading above all earlier and all observed ones.
	 * @return the packed reading
	 */
	public synchronized long now() {
		this.lastReading = Math.max(this.lastReading + 1, pack(this.wallMillis.getAsLong(), 0));
		return this.lastReading;
	}

	/**
	 * Observes a reading from another process, so that later readings are above it.
	 * @param remote the packed reading
	 */
	public synchronized void observe(long remote) {
		this.lastReading = Math.max(this.lastReading, remote);
	}

	/**
	 * Returns the milliseconds of a reading.
	 * @param reading a packed reading
	 * @return milliseconds since the epoch
	 */
	public static long millis(long reading) {
		return reading >>> COUNTER_BITS;
	}

	/**
	 * Packs a reading.
	 * @param millis milliseconds since the epoch
	 * @param counter order within the millisecond, 0 to 65,535
	 * @return the packed reading
	 */
	public static long pack(long millis, int counter) {
		return (millis << COUNTER_BITS) | counter;
	}

}
