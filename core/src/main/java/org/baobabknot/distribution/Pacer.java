package org.baobabknot.distribution;

import java.util.concurrent.TimeUnit;

/**
 * Token bucket that limits bulk bytes on a link shared with live requests. Bulk transfers
 * get the rate that live traffic leaves free, but at least a minimum rate, so that a
 * version always arrives eventually. Thread-safe.
 */
public final class Pacer {

	/** Ratio of the bulk limit that bulk transfers get under any live traffic. */
	private static final double MIN_BULK_RATIO = 0.1;

	/**
	 * Ratio of the link that stays free, so that the queue for live bytes stays short.
	 */
	private static final double HEADROOM_RATIO = 0.1;

	/**
	 * Time over which live traffic is averaged, in seconds; a burst of responses lasts
	 * about as long.
	 */
	private static final double AVERAGING_SECONDS = 0.5;

	/** Time for which unused rate accumulates, in seconds. */
	private static final double BURST_SECONDS = 0.05;

	private final double linkBytesPerSecond;

	private final double maxBulkBytesPerSecond;

	private final double burstBytes;

	private double tokens;

	private double liveBytesPerSecond;

	private long lastNanos;

	/**
	 * Creates a pacer with a full bucket.
	 * @param linkBytesPerSecond rate of the link
	 * @param maxBulkRatio ratio of the link that bulk transfers may use without live
	 * traffic
	 * @param maxTakeBytes largest number of bytes taken at once
	 * @param nowNanos monotonic time
	 */
	public Pacer(long linkBytesPerSecond, double maxBulkRatio, int maxTakeBytes, long nowNanos) {
		this.linkBytesPerSecond = linkBytesPerSecond;
		this.maxBulkBytesPerSecond = linkBytesPerSecond * maxBulkRatio;
		this.burstBytes = Math.max(maxTakeBytes, this.maxBulkBytesPerSecond * BURST_SECONDS);
		this.tokens = this.burstBytes;
		this.lastNanos = nowNanos;
	}

	/**
	 * Records live bytes on the link.
	 * @param bytes number of bytes
	 * @param nowNanos monotonic time
	 */
	public synchronized void recordLiveBytes(long bytes, long nowNanos) {
		advance(nowNanos);
		this.liveBytesPerSecond += bytes / AVERAGING_SECONDS;
	}

	/**
	 * Takes bulk bytes if the bucket has enough tokens.
	 * @param bytes number of bytes
	 * @param nowNanos monotonic time
	 * @return 0 when the bytes may be sent now; otherwise nothing was taken, and the
	 * result is the time in nanoseconds after which to retry
	 */
	public synchronized long tryTake(int bytes, long nowNanos) {
		advance(nowNanos);
		double needed = Math.min(bytes, this.burstBytes);
		if (this.tokens >= needed) {
			this.tokens -= bytes;
			return 0;
		}
		return 1 + (long) ((needed - this.tokens) / bulkRate() * TimeUnit.SECONDS.toNanos(1));
	}

	/**
	 * Returns the current rate limit for bulk bytes.
	 * @param nowNanos monotonic time
	 * @return bytes per second
	 */
	public synchronized double bulkBytesPerSecond(long nowNanos) {
		advance(nowNanos);
		return bulkRate();
	}

	private double bulkRate() {
		double available = this.linkBytesPerSecond * (1 - HEADROOM_RATIO) - this.liveBytesPerSecond;
		return Math.max(this.maxBulkBytesPerSecond * MIN_BULK_RATIO, Math.min(this.maxBulkBytesPerSecond, available));
	}

	private void advance(long nowNanos) {
		double seconds = Math.max(0, nowNanos - this.lastNanos) / (double) TimeUnit.SECONDS.toNanos(1);
		this.tokens = Math.min(this.burstBytes, this.tokens + bulkRate() * seconds);
		this.liveBytesPerSecond *= Math.exp(-seconds / AVERAGING_SECONDS);
		this.lastNanos = Math.max(this.lastNanos, nowNanos);
	}

}
