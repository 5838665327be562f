package org.baobabknot.protocol;

/**
 * Result of connecting: an open connection, or the step that failed and its cause.
 */
public sealed interface ConnectResult {

	/**
	 * The Hello messages have been exchanged.
	 *
	 * @param connection the open connection
	 */
	record Connected(Connection connection) implements ConnectResult {
	}

	/**
	 * No connection was established.
	 *
	 * @param failure step and cause
	 */
	record NotConnected(ConnectionFailure failure) implements ConnectResult {
	}

}
