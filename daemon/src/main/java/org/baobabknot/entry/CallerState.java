package org.baobabknot.entry;

/**
 * State of the connection of a caller.
 */
enum CallerState {

	/** Waits for the head of a request. */
	IDLE,
	/** Waits for the pause gate to admit a request; messages are queued. */
	ADMITTING,
	/** Waits for the end of the exchange. */
	EXCHANGE,
	/** Reads and discards the rest of a request body. */
	DISCARDING,
	/** Closed or being closed. */
	CLOSED

}
