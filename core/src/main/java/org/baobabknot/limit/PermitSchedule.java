package org.baobabknot.limit;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Times at which the permits of one issuer for one target become valid, so that they
 * follow each other at the limited rate. A permit may be reserved before it is valid, and
 * one that nobody wanted may be issued a little later. Confined to one thread.
 */
public final class PermitSchedule {

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	/**
	 * Lowest rate at which permits are issued. A target that takes nothing has to get a
	 * request now and then, because only its response shows that it takes more again.
	 */
	private static final double MIN_RATE = 0.2;

	/** Time for which permits that nobody wanted are kept. */
	private static final long CREDIT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

	private boolean used;

	private double ratePerSecond;

	private long nextNanos;

	/**
	 * Returns the rate at which permits are issued.
	 * @param statedPerSecond limit that the target states, in requests per second
	 * @return permits per second, greater than 0
	 */
	public static double rate(double statedPerSecond) {
		return Math.max(MIN_RATE, statedPerSecond);
	}

	/**
	 * Issues permits that become valid together.
	 * @param rate permits per second, greater than 0
	 * @param permits number of permits
	 * @param maxWaitNanos longest time until they become valid, in ns
	 * @param nowNanos monotonic time
	 * @return monotonic time from which they are valid, or nothing if that is too late
	 */
	public OptionalLong tryIssue(double rate, int permits, long maxWaitNanos, long nowNanos) {
		applyRate(rate, nowNanos);
		long validNanos = nowNanos + waitNanos(nowNanos);
		if (validNanos - nowNanos > maxWaitNanos) {
			return OptionalLong.empty();
		}
		long earliestNanos = nowNanos - CREDIT_NANOS;
		long slotNanos = (this.used && this.nextNanos - earliestNanos > 0) ? this.nextNanos
				: (this.used) ? earliestNanos : nowNanos;
		this.nextNanos = slotNanos + (long) (permits * NANOS_PER_SECOND / rate);
		this.used = true;
		return OptionalLong.of(validNanos);
	}

	/**
	 * Returns the time until the next permit becomes valid.
	 * @param nowNanos monotonic time
	 * @return time in ns, 0 if it is valid at once
	 */
	public long waitNanos(long nowNanos) {
		return (this.used) ? Math.max(0, this.nextNanos - nowNanos) : 0;
	}

	// A changed rate also changes what is left of the current interval.
	private void applyRate(double rate, long nowNanos) {
		if (this.used && rate != this.ratePerSecond) {
			this.nextNanos = nowNanos + (long) (waitNanos(nowNanos) * this.ratePerSecond / rate);
		}
		this.ratePerSecond = rate;
	}

}
