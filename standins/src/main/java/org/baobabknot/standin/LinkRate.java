package org.baobabknot.standin;

/**
 * Rate limit of a link that several senders share. Each sender reserves the transfer time
 * of its next part and sends the part after that time, so that the parts of all senders
 * are interleaved.
 */
public final class LinkRate {

	private static final double NANOS_PER_SECOND = 1e9;

	private final long bytesPerSecond;

	private long linkFreeNanos;

	private boolean hasReservation;

	/**
	 * Creates a link.
	 * @param bytesPerSecond the rate, 0 for no limit
	 */
	public LinkRate(long bytesPerSecond) {
		this.bytesPerSecond = bytesPerSecond;
	}

	/**
	 * Reserves the time to send bytes.
	 * @param bytes the number of bytes
	 * @param nowNanos the monotonic time
	 * @return nanoseconds from now until the link has transferred the bytes
	 */
	public long reserve(int bytes, long nowNanos) {
		if (this.bytesPerSecond <= 0) {
			return 0;
		}
		if (!this.hasReservation || this.linkFreeNanos - nowNanos < 0) {
			this.hasReservation = true;
			this.linkFreeNanos = nowNanos;
		}
		this.linkFreeNanos += (long) (bytes * NANOS_PER_SECOND / this.bytesPerSecond);
		return this.linkFreeNanos - nowNanos;
	}

}
