package org.baobabknot.gossip;

import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.ConnectionFailure;
import org.baobabknot.protocol.generated.Load;
import org.jspecify.annotations.Nullable;

/**
 * Receives the events of the connections in {@link Peers}, on their event loops.
 */
public interface PeerListener {

	/**
	 * Called when a connection has opened.
	 * @param connection the connection
	 */
	default void onConnectionOpened(Connection connection) {
	}

	/**
	 * Called when a pong has been received.
	 * @param connection the connection
	 * @param load load of the peer, {@code null} if the peer is not an agent
	 */
	default void onPong(Connection connection, @Nullable Load load) {
	}

	/**
	 * Called when a connection has closed.
	 * @param connection the connection
	 * @param failure step that failed and its cause
	 */
	default void onConnectionClosed(Connection connection, ConnectionFailure failure) {
	}

}
