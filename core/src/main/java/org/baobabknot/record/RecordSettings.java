package org.baobabknot.record;

import java.util.concurrent.TimeUnit;

/**
 * Bounds of a {@link RequestRecord}.
 *
 * @param capacity most requests recorded at once
 * @param retentionNanos time for which an ended request stays recorded, in nanoseconds
 * @param maxBodyBytes largest body kept for one request, in bytes
 * @param maxTotalBodyBytes largest sum of kept bodies, in bytes
 */
public record RecordSettings(int capacity, long retentionNanos, int maxBodyBytes, long maxTotalBodyBytes) {

	/**
	 * Longer than the retention of claims (10 min) by a minute, so that a claim never
	 * outlives the record that it refers to, even with the clocks of two agents seconds
	 * apart.
	 */
	private static final long DEFAULT_RETENTION_NANOS = TimeUnit.MINUTES.toNanos(11);

	/**
	 * Returns the default bounds: 20,000 requests, 11 minutes, 64 KiB for one body and 8
	 * MiB for all.
	 * @return the bounds
	 */
	public static RecordSettings defaults() {
		return new RecordSettings(20_000, DEFAULT_RETENTION_NANOS, 64 * 1024, 8L * 1024 * 1024);
	}

}
