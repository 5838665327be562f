package org.baobabknot.standin;

import java.util.Set;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Behaviour of one stand-in. The server calls all methods on its event loop, so the state
 * needs no locks.
 */
public interface Standin {

	/**
	 * Returns the kinds of fault that this stand-in has in addition to those that the
	 * server implements for every stand-in.
	 * @return kinds of fault
	 */
	Set<String> faultKinds();

	/**
	 * Sets the server; called once, before the first request.
	 * @param server the server
	 */
	void attach(StandinServer server);

	/**
	 * Handles a request whose head has arrived.
	 * @param call the head of the request and the methods to respond
	 * @return the sink for the request body
	 */
	BodySink handleCall(Call call);

	/**
	 * Returns the record of what the stand-in received.
	 * @return the record, as sent in response to {@code GET /record}
	 */
	ObjectNode record();

	/**
	 * Discards the state as a restart does, but keeps the record. The server closes the
	 * connections.
	 */
	default void kill() {
	}

	/**
	 * Called after a fault was activated.
	 * @param fault the fault with its {@code kind} and parameters
	 */
	default void onFaultActivated(ObjectNode fault) {
	}

	/**
	 * Called after one fault or all faults were cleared.
	 */
	default void onFaultsCleared() {
	}

	/**
	 * Called when the server closes.
	 */
	default void close() {
	}

}
