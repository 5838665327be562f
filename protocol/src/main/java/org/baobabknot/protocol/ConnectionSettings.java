package org.baobabknot.protocol;

import java.time.Duration;

import io.netty.util.concurrent.Ticker;

/**
 * Limits and timeouts of connections.
 *
 * @param connectTimeout longest time for the TCP connection; the TLS handshake has twice
 * as long
 * @param helloTimeout longest time until the peer's Hello arrives
 * @param busyPingInterval time without frames of the peer after which a ping is sent
 * while streams are open
 * @param idlePingInterval time without frames of the peer after which a ping is sent
 * while no stream is open
 * @param maxPingInterval longest time between pings, also while frames of the peer arrive
 * @param pongTimeout time without a pong after which the connection is closed
 * @param initialCreditBytes body bytes that a stream may send before the peer grants more
 * @param maxFrameBytes largest frame in bytes
 * @param maxStreams streams that one peer may have open on a connection
 * @param ticker monotonic clock of the timeouts
 */
public record ConnectionSettings(Duration connectTimeout, Duration helloTimeout, Duration busyPingInterval,
		Duration idlePingInterval, Duration maxPingInterval, Duration pongTimeout, int initialCreditBytes,
		int maxFrameBytes, int maxStreams, Ticker ticker) {

	/** Largest frame in bytes. */
	public static final int MAX_FRAME_BYTES = 1 << 20;

	/** Body bytes that a stream may send before the peer grants more credit. */
	public static final int INITIAL_CREDIT_BYTES = 256 << 10;

	/** Largest size of a body part, in bytes. */
	public static final int MAX_BODY_PART_BYTES = 64 << 10;

	/**
	 * Default values: pings after 500 ms (with open streams) or 1 s without a frame and
	 * every 2 s while frames arrive; the connection is closed after 1.5 s without a pong.
	 * @return default settings on the system's ticker
	 */
	public static ConnectionSettings defaults() {
		return new ConnectionSettings(Duration.ofSeconds(1), Duration.ofSeconds(2), Duration.ofMillis(500),
				Duration.ofSeconds(1), Duration.ofSeconds(2), Duration.ofMillis(1500), INITIAL_CREDIT_BYTES,
				MAX_FRAME_BYTES, 4096, Ticker.systemTicker());
	}

	/**
	 * Replaces the clock, so that tests can stop or advance time.
	 * @param replacement the new clock
	 * @return changed settings
	 */
	public ConnectionSettings withTicker(Ticker replacement) {
		return new ConnectionSettings(this.connectTimeout, this.helloTimeout, this.busyPingInterval,
				this.idlePingInterval, this.maxPingInterval, this.pongTimeout, this.initialCreditBytes,
				this.maxFrameBytes, this.maxStreams, replacement);
	}

}
