package org.baobabknot.retry;

import java.util.concurrent.TimeUnit;

/**
 * Settings of a {@link RetryPolicy}.
 *
 * @param maxAttempts most attempts of one request, including the first
 * @param baseDelayNanos mean delay before the second retry, in nanoseconds
 * @param maxDelayNanos maximum delay, in nanoseconds
 */
public record RetrySettings(int maxAttempts, long baseDelayNanos, long maxDelayNanos) {

	/**
	 * Returns the default settings: 4 attempts, delays from 10 ms to 500 ms.
	 * @return the settings
	 */
	public static RetrySettings defaults() {
		return new RetrySettings(4, TimeUnit.MILLISECONDS.toNanos(10), TimeUnit.MILLISECONDS.toNanos(500));
	}

}
