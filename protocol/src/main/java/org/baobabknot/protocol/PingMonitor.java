package org.baobabknot.protocol;

import java.util.concurrent.TimeUnit;

/**
 * Decides when a connection sends a ping and when it counts as lost. Not thread-safe:
 * used on the event loop of the connection.
 */
public final class PingMonitor {

	/** What the connection does after a check. */
	public enum Action {

		/** Nothing is due. */
		NONE,
		/** A ping is due. */
		PING,
		/** No pong arrived in time. */
		LOST

	}

	// Checks run every 100 ms. A later one means that this process was paused, which must
	// not be taken for a loss of every peer.
	private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final long busyNanos;

	private final long idleNanos;

	private final long timeoutNanos;

	private final long longestNanos;

	private long lastReceived;

	private long lastCheck;

	private long lastPing;

	private long unansweredSince;

	private boolean unanswered;

	private long sequence;

	private long roundTripNanos;

	/**
	 * Starts monitoring.
	 * @param settings intervals
	 * @param nowNanos monotonic time
	 */
	public PingMonitor(ConnectionSettings settings, long nowNanos) {
		this.busyNanos = settings.pingBusy().toNanos();
		this.idleNanos = settings.pingIdle().toNanos();
		this.timeoutNanos = settings.pongTimeout().toNanos();
		this.longestNanos = settings.pingLongest().toNanos();
		this.lastPing = nowNanos;
		this.lastCheck = nowNanos;
		this.lastReceived = nowNanos;
	}

	/**
	 * Notes that the peer sent a frame. While frames arrive, the connection delivers data
	 * and a ping tells nothing new, so it is put off to the longest interval.
	 * @param nowNanos monotonic time
	 */
	public void received(long nowNanos) {
		this.lastReceived = nowNanos;
	}

	/**
	 * Checks what is due.
	 * @param busy whether streams are open
	 * @param nowNanos monotonic time
	 * @return the action due now
	 */
	public Action check(boolean busy, long nowNanos) {
		if (nowNanos - this.lastCheck > PAUSE_NANOS) {
			this.unansweredSince = nowNanos;
		}
		this.lastCheck = nowNanos;
		if (this.unanswered && nowNanos - this.unansweredSince >= this.timeoutNanos) {
			return Action.LOST;
		}
		long interval = (busy) ? this.busyNanos : this.idleNanos;
		long sincePing = nowNanos - this.lastPing;
		boolean quiet = sincePing >= interval && nowNanos - this.lastReceived >= interval;
		return (quiet || sincePing >= this.longestNanos) ? Action.PING : Action.NONE;
	}

	/**
	 * Notes a ping that is being sent.
	 * @param nowNanos monotonic time
	 * @return sequence number for the ping
	 */
	public long tryPing(long nowNanos) {
		this.lastPing = nowNanos;
		if (!this.unanswered) {
			this.unanswered = true;
			this.unansweredSince = nowNanos;
		}
		this.sequence++;
		return this.sequence;
	}

	/**
	 * Notes a pong. A pong with an older number still shows that the connection delivers
	 * data, so any pong counts; the round trip is measured on the latest ping only.
	 * @param answered sequence number in the pong
	 * @param nowNanos monotonic time
	 */
	public void pong(long answered, long nowNanos) {
		if (answered == this.sequence) {
			this.unanswered = false;
			this.roundTripNanos = nowNanos - this.lastPing;
		}
		else if (answered > 0 && answered < this.sequence) {
			this.unansweredSince = this.lastPing;
		}
	}

	/**
	 * Round-trip time of the last answered ping.
	 * @return nanoseconds, 0 before the first answer
	 */
	public long roundTripNanos() {
		return this.roundTripNanos;
	}

}
