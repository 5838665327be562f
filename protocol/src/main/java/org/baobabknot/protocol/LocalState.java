package org.baobabknot.protocol;

import org.baobabknot.protocol.generated.Hello;
import org.baobabknot.protocol.generated.Knowledge;
import org.baobabknot.protocol.generated.Load;
import org.jspecify.annotations.Nullable;

/**
 * Provides the state of this process that is sent to its peers. Methods are called on
 * event loops and must not block.
 */
public interface LocalState {

	/**
	 * The Hello sent first on every connection; the connection sets {@code knowledge} and
	 * {@code protocol_version}.
	 * @return identity of this process
	 */
	Hello hello();

	/**
	 * Revisions that are attached to Hello, Ping and Pong.
	 * @return highest revision of the rules and version of the member list that this
	 * process has
	 */
	Knowledge knowledge();

	/**
	 * Load that is attached to Pong.
	 * @return load on the target, {@code null} if this process is not an agent
	 */
	default @Nullable Load load() {
		return null;
	}

	/**
	 * Timestamp for outgoing frames.
	 * @return current hybrid logical clock
	 */
	default long clock() {
		return 0;
	}

	/**
	 * Called with the timestamp of each received frame that has one.
	 * @param peerClock hybrid logical clock of the peer
	 */
	default void observeClock(long peerClock) {
	}

}
