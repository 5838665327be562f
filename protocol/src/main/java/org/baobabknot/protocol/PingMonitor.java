package org.baobabknot.protocol;

import java.util.concurrent.TimeUnit;

/**
 * Decides when a connection sends a ping and when it is considered lost. Not thread-safe:
 * used on the event loop of the connection.
 */
public final class PingMonitor {

	/** Action that the connection takes after a check. */
	public enum Action {

		/** Nothing is due. */
		NONE,
		/** A ping is due. */
		PING,
		/** No pong arrived in time. */
		LOST

	}

	// Checks run every 100 ms. A gap of more than 1 s between two checks means that this
	// process was paused; without this rule it would consider all its peers lost.
	private static final long MIN_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

	// A check that is later than two intervals may find the pong still unread in the
	// socket.
	private static final long MAX_CHECK_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	// Bounds the time for which a process whose checks are always late keeps a lost
	// connection.
	private static final long MAX_OWN_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private final long busyIntervalNanos;

	private final long idleIntervalNanos;

	private final long pongTimeoutNanos;

	private final long maxIntervalNanos;

	private long lastReceivedNanos;

	private long lastCheckNanos;

	private long lastPingNanos;

	private long awaitingPongSinceNanos;

	// Time in which the checks were late while a pong was awaited.
	private long ownDelayNanos;

	private boolean awaitingPong;

	private long lastSequence;

	private long roundTripNanos;

	/**
	 * Starts monitoring.
	 * @param settings intervals
	 * @param nowNanos monotonic time
	 */
	public PingMonitor(ConnectionSettings settings, long nowNanos) {
		this.busyIntervalNanos = settings.busyPingInterval().toNanos();
		this.idleIntervalNanos = settings.idlePingInterval().toNanos();
		this.pongTimeoutNanos = settings.pongTimeout().toNanos();
		this.maxIntervalNanos = settings.maxPingInterval().toNanos();
		this.lastPingNanos = nowNanos;
		this.lastCheckNanos = nowNanos;
		this.lastReceivedNanos = nowNanos;
	}

	/**
	 * Records that the peer sent a frame. While frames arrive, the connection evidently
	 * delivers data, so pings are only sent at the maximum interval.
	 * @param nowNanos monotonic time
	 */
	public void recordReceived(long nowNanos) {
		this.lastReceivedNanos = nowNanos;
	}

	/**
	 * Determines whether a ping is due or the connection is lost.
	 * @param streamsOpen whether the connection has open streams
	 * @param nowNanos monotonic time
	 * @return the action due now
	 */
	public Action check(boolean streamsOpen, long nowNanos) {
		if (nowNanos - this.lastCheckNanos > MIN_PAUSE_NANOS) {
			awaitPongSince(nowNanos);
		}
		else {
			long waitedNanos = nowNanos - Math.max(this.lastCheckNanos, this.awaitingPongSinceNanos);
			this.ownDelayNanos = Math.min(MAX_OWN_DELAY_NANOS,
					this.ownDelayNanos + Math.max(0, waitedNanos - MAX_CHECK_GAP_NANOS));
		}
		this.lastCheckNanos = nowNanos;
		if (this.awaitingPong && nowNanos - this.awaitingPongSinceNanos - this.ownDelayNanos >= this.pongTimeoutNanos) {
			return Action.LOST;
		}
		long intervalNanos = (streamsOpen) ? this.busyIntervalNanos : this.idleIntervalNanos;
		long sincePingNanos = nowNanos - this.lastPingNanos;
		boolean quiet = sincePingNanos >= intervalNanos && nowNanos - this.lastReceivedNanos >= intervalNanos;
		return (quiet || sincePingNanos >= this.maxIntervalNanos) ? Action.PING : Action.NONE;
	}

	/**
	 * Records that a ping is being sent.
	 * @param nowNanos monotonic time
	 * @return sequence number for the ping
	 */
	public long recordPing(long nowNanos) {
		this.lastPingNanos = nowNanos;
		if (!this.awaitingPong) {
			this.awaitingPong = true;
			awaitPongSince(nowNanos);
		}
		this.lastSequence++;
		return this.lastSequence;
	}

	/**
	 * Records a pong. The pong of an earlier ping also shows that the connection delivers
	 * data, so the pong timeout then counts from the latest ping. The round trip is
	 * measured on the latest ping only.
	 * @param pongSequence sequence number in the pong
	 * @param nowNanos monotonic time
	 */
	public void recordPong(long pongSequence, long nowNanos) {
		if (pongSequence == this.lastSequence) {
			this.awaitingPong = false;
			this.roundTripNanos = nowNanos - this.lastPingNanos;
		}
		else if (pongSequence > 0 && pongSequence < this.lastSequence) {
			awaitPongSince(this.lastPingNanos);
		}
	}

	private void awaitPongSince(long nanos) {
		this.awaitingPongSinceNanos = nanos;
		this.ownDelayNanos = 0;
	}

	/**
	 * Round-trip time of the last ping that received its pong.
	 * @return nanoseconds, 0 before the first pong
	 */
	public long roundTripNanos() {
		return this.roundTripNanos;
	}

}
