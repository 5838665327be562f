package org.baobabknot.record;

import java.util.concurrent.TimeUnit;

/**
 * Bounds of a {@link RequestRecord}.
 *
 * @param capacity most requests that are recorded at once
 * @param retentionNanos time for which an ended request stays recorded, in nanoseconds
 * @param maxBodyBytes largest response body that is stored for one request, in bytes
 * @param maxTotalBodyBytes largest total size of stored response bodies, in bytes
 */
public record RecordSettings(int capacity, long retentionNanos, int maxBodyBytes, long maxTotalBodyBytes) {

	/**
	 * One minute longer than the retention of claims (10 min), so that a claim always
	 * expires before the recorded request that it refers to, even if the clocks of two
	 * agents differ by seconds.
	 */
	private static final long DEFAULT_RETENTION_NANOS = TimeUnit.MINUTES.toNanos(11);

	/**
	 * Returns the default bounds: 20,000 requests, 11 minutes, 64 KiB for one body and 8
	 * MiB for all bodies.
	 * @return the bounds
	 */
	public static RecordSettings defaults() {
		return new RecordSettings(20_000, DEFAULT_RETENTION_NANOS, 64 * 1024, 8L * 1024 * 1024);
	}

}
