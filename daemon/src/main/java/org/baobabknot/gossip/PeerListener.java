package org.baobabknot.gossip;

import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.Failure;
import org.baobabknot.protocol.generated.Load;
import org.jspecify.annotations.Nullable;

/**
 * Told about the open connections of this process, on their event loops.
 */
public interface PeerListener {

	/**
	 * A connection is open.
	 * @param connection the connection
	 */
	default void onConnectionOpened(Connection connection) {
	}

	/**
	 * A pong arrived.
	 * @param connection the connection
	 * @param load load of the peer, {@code null} unless it is an agent
	 */
	default void onPong(Connection connection, @Nullable Load load) {
	}

	/**
	 * A connection is closed.
	 * @param connection the connection
	 * @param failure step and cause
	 */
	default void onConnectionClosed(Connection connection, Failure failure) {
	}

}
