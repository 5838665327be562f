package org.baobabknot.record;

import java.util.concurrent.TimeUnit;

/**
 * Bounds of a {@link ClaimRegistry}.
 *
 * @param buckets number of buckets of one service; must be the same in every agent
 * @param maxValueBytes largest value of one bucket, in bytes
 * @param retentionSeconds time after which a claim expires, in seconds
 * @param writeIntervalNanos minimum time between two writes of one bucket, in nanoseconds
 */
public record ClaimSettings(int buckets, int maxValueBytes, long retentionSeconds, long writeIntervalNanos) {

	/**
	 * With 64 buckets, an interval of 200 ms limits one service to 320 writes per second.
	 * The store accepts several hundred writes per second.
	 */
	private static final long DEFAULT_WRITE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/**
	 * Returns the default bounds: 64 buckets, 256 KiB, 10 minutes, 200 ms.
	 * @return the bounds
	 */
	public static ClaimSettings defaults() {
		return new ClaimSettings(64, 256 * 1024, TimeUnit.MINUTES.toSeconds(10), DEFAULT_WRITE_INTERVAL_NANOS);
	}

}
