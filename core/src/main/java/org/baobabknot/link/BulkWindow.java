package org.baobabknot.link;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Congestion window that limits the bulk transfers in flight over a link in one
 * direction. Weights and live requests share the link, whose rate may be far below the
 * stated one; bytes that are queued at a link can't be recalled and delay what arrives
 * after them. The window starts at one transfer, grows by one for each fast transfer and
 * is halved after a slow one; when even single transfers are slow, it pauses for the
 * duration of a transfer. Confined to one thread.
 */
public final class BulkWindow {

	/**
	 * Largest number of transfers in flight. Eight chunks of 24 kB occupy a link of 5
	 * Mbit/s for 0.3 s.
	 */
	public static final int MAX_TRANSFERS = 8;

	/**
	 * Duration of a transfer below which the window grows, in ms. It is a quarter of the
	 * half second by which a request may arrive late at a target after its caller has
	 * disconnected.
	 */
	static final double FAST_TRANSFER_MS = 125;

	/** Duration of a transfer or link delay above which the window shrinks, in ms. */
	static final double SLOW_TRANSFER_MS = 200;

	/**
	 * Number of recent transfers of which the fastest counts, since a sender behind a
	 * slow link of its own gives no evidence about this link.
	 */
	private static final int RECENT_TRANSFERS = 3;

	/** Longest pause between transfers, in ms. */
	static final double MAX_PAUSE_MS = 1_000;

	/**
	 * Time after a slow transfer for which the link counts as slow, in ms. Other members
	 * avoid a member that refused them as slow for the same time.
	 */
	private static final double SLOW_STATE_MS = 2_500;

	/**
	 * Time without a transfer after which the state of the link is outdated and the
	 * window is reset, in ms.
	 */
	private static final double IDLE_RESET_MS = 1_000;

	/**
	 * Time between two transfers while the link is saturated, as a multiple of its delay.
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
	 * Starts a transfer if the window allows it.
	 * @param linkDelayMs current queueing delay at the link, in ms
	 * @param nowNanos monotonic time
	 * @return whether the transfer may start; it must then be ended with
	 * {@link #recordArrival}, {@link #recordLoss} or {@link #recordRefusal}
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
	 * Records a transfer that arrived.
	 * @param transferMs time since its request, without the time for which the sender
	 * delayed it, in ms
	 * @param linkDelayMs current queueing delay at the link, in ms
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
	 * Records a transfer that did not arrive; its bytes may still be queued.
	 * @param nowNanos monotonic time
	 */
	public void recordLoss(long nowNanos) {
		this.inFlight--;
		this.maxInFlight = 1;
		this.lastStartNanos = nowNanos;
	}

	/**
	 * Records a transfer that the sender refused, so that no bytes were sent.
	 */
	public void recordRefusal() {
		this.inFlight--;
	}

	/**
	 * Returns whether single transfers were slow recently.
	 * @param nowNanos monotonic time
	 * @return whether other members should take over what this member does for the fleet
	 */
	public boolean isSlow(long nowNanos) {
		return this.slowDetected && nowNanos - this.lastSlowNanos < SLOW_STATE_MS * NANOS_PER_MS;
	}

	/**
	 * Returns the number of transfers in flight.
	 * @return the number
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
		// Transfers that were in flight at the same time were delayed by the same queue,
		// so they shrink the window only once.
		if (now - this.lastShrinkNanos > SLOW_TRANSFER_MS * NANOS_PER_MS) {
			this.maxInFlight = Math.max(1, this.maxInFlight / 2);
			this.lastShrinkNanos = now;
		}
	}

}
