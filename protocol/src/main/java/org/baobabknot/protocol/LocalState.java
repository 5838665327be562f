package org.baobabknot.protocol;

import org.baobabknot.protocol.generated.Hello;
import org.baobabknot.protocol.generated.Knowledge;
import org.baobabknot.protocol.generated.Load;
import org.jspecify.annotations.Nullable;

/**
 * What a process tells its peers about itself. Methods are called on event loops and must
 * not block.
 */
public interface LocalState {

	/**
	 * The Hello sent first on every connection; {@code knowledge} and
	 * {@code protocol_version} are filled in by the connection.
	 * @return identity of this process
	 */
	Hello hello();

	/**
	 * Attached to Hello, Ping and Pong.
	 * @return highest revision and list version known here
	 */
	Knowledge knowledge();

	/**
	 * Attached to Pong.
	 * @return load on the target, or {@code null} unless this process is an agent
	 */
	default @Nullable Load load() {
		return null;
	}

	/**
	 * Time stamp for outgoing frames.
	 * @return current hybrid logical clock
	 */
	default long clock() {
		return 0;
	}

	/**
	 * Called with the time stamp of each received frame that carries one.
	 * @param peerClock hybrid logical clock of the peer
	 */
	default void observeClock(long peerClock) {
	}

}
