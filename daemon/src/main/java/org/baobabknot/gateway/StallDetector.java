package org.baobabknot.gateway;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;

/**
 * Notices that an event loop has stood still, as in a frozen process. Messages that came
 * meanwhile may be read after the requests that came with them. Confined to the event
 * loop.
 */
final class StallDetector {

	/**
	 * Time in which messages that came during a stall are read, in ms.
	 */
	static final long SETTLING_MS = 15;

	private static final long BEAT_MS = 20;

	private static final long STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private final EventLoop loop;

	private final Runnable onStall;

	private boolean started;

	private long lastBeatNanos;

	private long stallEndNanos;

	/**
	 * Creates a detector that does not watch yet.
	 * @param loop event loop, whose clock is used
	 * @param onStall runs when a stall was noticed, before messages that came meanwhile
	 * are certain to be read
	 */
	StallDetector(EventLoop loop, Runnable onStall) {
		this.loop = loop;
		this.onStall = onStall;
	}

	private long now() {
		return this.loop.ticker().nanoTime();
	}

	/**
	 * Starts to watch the event loop. The start counts as the end of a stall.
	 */
	void start() {
		this.started = true;
		this.lastBeatNanos = now();
		this.stallEndNanos = this.lastBeatNanos;
		this.onStall.run();
		this.loop.scheduleAtFixedRate(this::check, BEAT_MS, BEAT_MS, TimeUnit.MILLISECONDS);
	}

	private void check() {
		long now = now();
		boolean stalled = now - this.lastBeatNanos > STALL_NANOS;
		this.lastBeatNanos = now;
		if (stalled) {
			this.stallEndNanos = now;
			this.onStall.run();
		}
	}

	/**
	 * Returns whether messages that came during a stall may be unread.
	 * @return whether a stall ended within the last {@link #SETTLING_MS}
	 */
	boolean messagesMayWait() {
		if (!this.started) {
			return false;
		}
		check();
		return now() - this.stallEndNanos < TimeUnit.MILLISECONDS.toNanos(SETTLING_MS);
	}

}
