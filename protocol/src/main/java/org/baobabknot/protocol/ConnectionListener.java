package org.baobabknot.protocol;

import java.util.Optional;

import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.Hello;
import org.baobabknot.protocol.generated.Knowledge;
import org.baobabknot.protocol.generated.Load;
import org.jspecify.annotations.Nullable;

/**
 * Receives the events of connections. All methods are called on the event loop of the
 * connection and must not block.
 */
public interface ConnectionListener {

	/**
	 * Decides whether the peer may use the connection, before any other frame of the peer
	 * is processed.
	 * @param hello identity and token of the peer
	 * @return reason for the refusal, which closes the connection; empty to accept it
	 */
	default Optional<String> refusalReason(Hello hello) {
		return Optional.empty();
	}

	/**
	 * Called when the Hello messages have been exchanged.
	 * @param connection the open connection
	 */
	default void onOpened(Connection connection) {
	}

	/**
	 * Called when the peer opened a stream.
	 * @param stream the new stream
	 * @param first its first frame, which is not passed to the handler again
	 * @return handler of later frames; {@code null} closes the stream on this side
	 */
	default @Nullable FrameHandler onStreamOpened(Stream stream, Frame first) {
		return null;
	}

	/**
	 * Called for a frame on stream 0 other than Hello, Ping and Pong.
	 * @param connection the connection
	 * @param frame the frame
	 */
	default void onFrame(Connection connection, Frame frame) {
	}

	/**
	 * Called with the revisions in a Hello, Ping or Pong of the peer.
	 * @param connection the connection
	 * @param knowledge revision of the rules and version of the member list that the peer
	 * has
	 */
	default void onKnowledge(Connection connection, Knowledge knowledge) {
	}

	/**
	 * Called when a Pong arrived.
	 * @param connection the connection
	 * @param load load of the peer's target, {@code null} unless the peer is an agent
	 */
	default void onPong(Connection connection, @Nullable Load load) {
	}

	/**
	 * Called when the connection is closed, after the handlers of its streams.
	 * @param connection the connection
	 * @param failure step and cause
	 */
	default void onClosed(Connection connection, ConnectionFailure failure) {
	}

}
