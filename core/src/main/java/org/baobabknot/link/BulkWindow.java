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
	public static final int MAX_TRANSFERS = 8;

	/**
	 * Time of a transfer below which one more is started, in ms; a quarter of the half
	 * second by which a request may be late at a target whose caller has left.
	 */
	static final double FAST_TRANSFER_MS = 125;

	/** Time of a transfer above which there are too many, in ms. */
	static final double SLOW_TRANSFER_MS = 200;

	/**
	 * Transfers of which the fastest counts: a sender behind a slow link of its own says
	 * nothing about this one.
	 */
	private static final int RECENT_TRANSFERS = 3;

	/** Longest time for which the link is left to others, in ms. */
	static final double MAX_PAUSE_MS = 1_000;

	/**
	 * Time after a slow transfer for which others had better take another way, in ms; as
	 * long as they pass a member over that turns them away.
	 */
	private static final double SLOW_STATE_MS = 2_500;

	/** Time without a transfer after which what is known of the link is old, in ms. */
	private static final double IDLE_RESET_MS = 1_000;

	/**
	 * Time between two transfers while the link is filled, as a multiple of its delay.
	 */
	private static final double PAUSE_DELAY_RATIO = 2;

	private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

	private final Deque<Double> recentTransfersMs = new ArrayDeque<>();

	private int maxInFlight = 1;

	private int inFlight;

	private boolean slowDetected;

	private long lastSlowNanos;

	private long lastShrinkNanos;

	private long lastStartNanos;

	private long pausedUntilNanos;

	private boolean everStarted;

	/**
	 * Starts a transfer if there is room for it.
	 * @param linkDelayMs time for which bytes wait at the link now, in ms
	 * @param nowNanos monotonic time
	 * @return whether it may start; it must be ended with {@link #recordArrival} or
	 * {@link #recordLoss}
	 */
	public boolean tryStart(double linkDelayMs, long nowNanos) {
		if (this.everStarted && this.inFlight == 0 && nowNanos - this.lastStartNanos > IDLE_RESET_MS * NANOS_PER_MS) {
			this.maxInFlight = 1;
			this.recentTransfersMs.clear();
		}
		if (this.inFlight >= this.maxInFlight || (this.everStarted && nowNanos - this.pausedUntilNanos < 0)) {
			return false;
		}
		if (linkDelayMs > FAST_TRANSFER_MS && this.everStarted && (this.inFlight > 0 || nowNanos
				- this.lastStartNanos < Math.min(MAX_PAUSE_MS, linkDelayMs * PAUSE_DELAY_RATIO) * NANOS_PER_MS)) {
			return false;
		}
		this.everStarted = true;
		this.lastStartNanos = nowNanos;
		this.inFlight++;
		return true;
	}

	/**
	 * Takes note of a transfer that arrived.
	 * @param transferMs time from its request, without the time for which the sender held
	 * it back, in ms
	 * @param linkDelayMs time for which bytes wait at the link now, in ms
	 * @param nowNanos monotonic time
	 */
	public void recordArrival(double transferMs, double linkDelayMs, long nowNanos) {
		this.inFlight--;
		this.recentTransfersMs.addLast(transferMs);
		if (this.recentTransfersMs.size() > RECENT_TRANSFERS) {
			this.recentTransfersMs.removeFirst();
		}
		double fastestMs = this.recentTransfersMs.stream().mapToDouble(Double::doubleValue).min().orElse(0);
		if (transferMs < FAST_TRANSFER_MS && linkDelayMs < SLOW_TRANSFER_MS) {
			this.maxInFlight = Math.min(MAX_TRANSFERS, this.maxInFlight + 1);
			this.slowDetected = false;
		}
		else if (linkDelayMs > SLOW_TRANSFER_MS
				|| (this.recentTransfersMs.size() == RECENT_TRANSFERS && fastestMs > SLOW_TRANSFER_MS)) {
			shrink(Math.max(linkDelayMs, fastestMs), nowNanos);
		}
	}

	/**
	 * Takes note of a transfer that did not arrive: perhaps its bytes are still queued.
	 * @param nowNanos monotonic time
	 */
	public void recordLoss(long nowNanos) {
		this.inFlight--;
		this.maxInFlight = 1;
		this.lastStartNanos = nowNanos;
	}

	/**
	 * Takes note of a transfer that the sender refused, so that nothing was on its way.
	 */
	public void recordRefusal() {
		this.inFlight--;
	}

	/**
	 * Tells whether one transfer at a time was slow lately.
	 * @param nowNanos monotonic time
	 * @return whether others had better do what this member does for the fleet
	 */
	public boolean isSlow(long nowNanos) {
		return this.slowDetected && nowNanos - this.lastSlowNanos < SLOW_STATE_MS * NANOS_PER_MS;
	}

	/**
	 * Returns the transfers on their way.
	 * @return their number
	 */
	public int inFlight() {
		return this.inFlight;
	}

	private void shrink(double delayMs, long now) {
		if (this.maxInFlight == 1) {
			this.slowDetected = true;
			this.lastSlowNanos = now;
			this.pausedUntilNanos = now + (long) (Math.min(MAX_PAUSE_MS, delayMs) * NANOS_PER_MS);
		}
		// Transfers that were on their way together tell of the same queue.
		if (now - this.lastShrinkNanos > SLOW_TRANSFER_MS * NANOS_PER_MS) {
			this.maxInFlight = Math.max(1, this.maxInFlight / 2);
			this.lastShrinkNanos = now;
		}
	}

}
