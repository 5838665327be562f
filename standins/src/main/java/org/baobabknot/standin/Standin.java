package org.baobabknot.standin;

import java.util.Set;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * One stand-in. All methods are called on the event loop of its server, so its state
 * needs no locks.
 */
public interface Standin {

	/**
	 * Returns the faults it has besides those that the server offers for every stand-in.
	 * @return names of faults
	 */
	Set<String> faultKinds();

	/**
	 * Called once before the first call.
	 * @param server the server
	 */
	void attach(StandinServer server);

	/**
	 * Starts a call.
	 * @param call the head of the call and the means to answer it
	 * @return takes the request body
	 */
	BodySink handleCall(Call call);

	/**
	 * Returns what the stand-in received.
	 * @return the record, as answered to {@code GET /record}
	 */
	ObjectNode record();

	/**
	 * Loses the state, as by a restart; the record is kept. The server drops the
	 * connections.
	 */
	default void kill() {
	}

	/**
	 * A fault was switched on.
	 * @param fault the fault with its {@code kind} and parameters
	 */
	default void onFaultActivated(ObjectNode fault) {
	}

	/**
	 * One fault or all faults were switched off.
	 */
	default void onFaultsCleared() {
	}

	/**
	 * The server closes.
	 */
	default void close() {
	}

}
