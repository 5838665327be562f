package org.baobabknot.protocol;

import java.time.Duration;

import io.netty.util.concurrent.Ticker;

/**
 * Limits and timeouts of connections.
 *
 * @param connectTimeout time for the TCP connection and the TLS handshake, each
 * @param helloTimeout time until the peer's Hello
 * @param busyPingInterval interval of pings while streams are open
 * @param idlePingInterval interval of pings otherwise
 * @param maxPingInterval interval of pings while frames of the peer arrive
 * @param pongTimeout time without a pong after which the connection is closed
 * @param initialCreditBytes bytes of body that a stream may send before the peer grants
 * more
 * @param maxFrameBytes largest frame in bytes
 * @param maxStreams streams that one peer may have open on a connection
 * @param ticker clock of the timeouts
 */
public record ConnectionSettings(Duration connectTimeout, Duration helloTimeout, Duration busyPingInterval,
		Duration idlePingInterval, Duration maxPingInterval, Duration pongTimeout, int initialCreditBytes,
		int maxFrameBytes, int maxStreams, Ticker ticker) {

	/** Largest frame in bytes. */
	public static final int MAX_FRAME_BYTES = 1 << 20;

	/** Bytes of body in flight on a stream without further credit. */
	public static final int INITIAL_CREDIT_BYTES = 256 << 10;

	/** Largest part in which bodies are sent, in bytes. */
	public static final int MAX_BODY_PART_BYTES = 64 << 10;

	/**
	 * The values of the design page: pings after 500 ms or 1 s without a frame and every
	 * 2 s with frames, loss after 1.5 s.
	 * @return default settings on the system's ticker
	 */
	public static ConnectionSettings defaults() {
		return new ConnectionSettings(Duration.ofSeconds(1), Duration.ofSeconds(2), Duration.ofMillis(500),
				Duration.ofSeconds(1), Duration.ofSeconds(2), Duration.ofMillis(1500), INITIAL_CREDIT_BYTES,
				MAX_FRAME_BYTES, 4096, Ticker.systemTicker());
	}

	/**
	 * Replaces the clock, for tests that pause or advance time.
	 * @param replacement the new clock
	 * @return changed settings
	 */
	public ConnectionSettings withTicker(Ticker replacement) {
		return new ConnectionSettings(this.connectTimeout, this.helloTimeout, this.busyPingInterval,
				this.idlePingInterval, this.maxPingInterval, this.pongTimeout, this.initialCreditBytes,
				this.maxFrameBytes, this.maxStreams, replacement);
	}

}
