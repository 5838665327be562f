package org.baobabknot.link;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the bulk transfers that are on their way over a link in one direction. Answers
 * the load of weights and live requests on one link, whose rate may be far below the
 * stated one: what is queued in front of a link can't be taken back, and what arrives
 * behind it is late. Starts with one transfer, takes one more for each that was fast,
 * halves when one was slow, and leaves the link to others for as long as a transfer took
 * when even one at a time is slow. Confined to one thread.
 */
public final class BulkWindow {

	/**
	 * Transfers on their way at most. Eight chunks of 24 kB are 0.3 s of a link of 5
	 * Mbit/s.
	 */
	public static final int MOST = 8;

	/**
	 * Time of a transfer below which one more is started, in ms; a quarter of the half
	 * second by which a request may be late at a target whose caller has left.
	 */
	static final double FAST_MS = 125;

	/** Time of a transfer above which there are too many, in ms. */
	static final double SLOW_MS = 200;

	/**
	 * Transfers of which the fastest counts: a sender behind a slow link of its own says
	 * nothing about this one.
	 */
	private static final int NEWEST = 3;

	/** Longest time for which the link is left to others, in ms. */
	static final double MOST_PAUSE_MS = 1_000;

	/**
	 * Time after a slow transfer for which others had better take another way, in ms; as
	 * long as they pass a member over that turns them away.
	 */
	private static final double SLOW_FOR_MS = 2_500;

	/** Time without a transfer after which what is known of the link is old, in ms. */
	private static final double IDLE_MS = 1_000;

	/**
	 * Time between two transfers while the link is filled, as a multiple of its delay.
	 */
	private static final double PAUSE_DELAYS = 2;

	private static final double MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

	private final Deque<Double> newestMs = new ArrayDeque<>();

	private int size = 1;

	private int onTheWay;

	private boolean everSlow;

	private long slowNanos;

	private long shrunkNanos;

	private long startedNanos;

	private long pausedUntilNanos;

	private boolean everStarted;

	/**
	 * Starts a transfer if there is room for it.
	 * @param linkDelayMs time for which bytes wait at the link now, in ms
	 * @param nowNanos monotonic time
	 * @return whether it may start; it must be ended with {@link #arrived} or
	 * {@link #lost}
	 */
	public boolean tryStart(double linkDelayMs, long nowNanos) {
		if (this.everStarted && this.onTheWay == 0 && nowNanos - this.startedNanos > IDLE_MS * MILLISECOND) {
			this.size = 1;
			this.newestMs.clear();
		}
		if (this.onTheWay >= this.size || (this.everStarted && nowNanos - this.pausedUntilNanos < 0)) {
			return false;
		}
		if (linkDelayMs > FAST_MS && this.everStarted && (this.onTheWay > 0
				|| nowNanos - this.startedNanos < Math.min(MOST_PAUSE_MS, linkDelayMs * PAUSE_DELAYS) * MILLISECOND)) {
			return false;
		}
		this.everStarted = true;
		this.startedNanos = nowNanos;
		this.onTheWay++;
		return true;
	}

	/**
	 * Takes note of a transfer that arrived.
	 * @param transferMs time from its request, without the time for which the sender held
	 * it back, in ms
	 * @param linkDelayMs time for which bytes wait at the link now, in ms
	 * @param nowNanos monotonic time
	 */
	public void arrived(double transferMs, double linkDelayMs, long nowNanos) {
		this.onTheWay--;
		this.newestMs.addLast(transferMs);
		if (this.newestMs.size() > NEWEST) {
			this.newestMs.removeFirst();
		}
		double fastestMs = this.newestMs.stream().mapToDouble(Double::doubleValue).min().orElse(0);
		if (transferMs < FAST_MS && linkDelayMs < SLOW_MS) {
			this.size = Math.min(MOST, this.size + 1);
			this.everSlow = false;
		}
		else if (linkDelayMs > SLOW_MS || (this.newestMs.size() == NEWEST && fastestMs > SLOW_MS)) {
			shrink(Math.max(linkDelayMs, fastestMs), nowNanos);
		}
	}

	/**
	 * Takes note of a transfer that did not arrive: perhaps its bytes are still queued.
	 * @param nowNanos monotonic time
	 */
	public void lost(long nowNanos) {
		this.onTheWay--;
		this.size = 1;
		this.startedNanos = nowNanos;
	}

	/**
	 * Takes note of a transfer that the sender refused, so that nothing was on its way.
	 */
	public void refused() {
		this.onTheWay--;
	}

	/**
	 * Tells whether one transfer at a time was slow lately.
	 * @param nowNanos monotonic time
	 * @return whether others had better do what this member does for the fleet
	 */
	public boolean slow(long nowNanos) {
		return this.everSlow && nowNanos - this.slowNanos < SLOW_FOR_MS * MILLISECOND;
	}

	/**
	 * Returns the transfers on their way.
	 * @return their number
	 */
	public int onTheWay() {
		return this.onTheWay;
	}

	private void shrink(double delayMs, long now) {
		if (this.size == 1) {
			this.everSlow = true;
			this.slowNanos = now;
			this.pausedUntilNanos = now + (long) (Math.min(MOST_PAUSE_MS, delayMs) * MILLISECOND);
		}
		// Transfers that were on their way together tell of the same queue.
		if (now - this.shrunkNanos > SLOW_MS * MILLISECOND) {
			this.size = Math.max(1, this.size / 2);
			this.shrunkNanos = now;
		}
	}

}
