package org.baobabknot.agent;

import java.util.concurrent.CompletableFuture;

import org.baobabknot.admission.CloseReason;

/**
 * Closes and reopens the admission of requests to the target. Thread-safe.
 */
public interface AdmissionGate {

	/**
	 * Closes admission and refuses the queued requests. Running requests are not
	 * affected.
	 * @param reason the reason; each reason is removed separately with {@link #reopen}
	 */
	void close(CloseReason reason);

	/**
	 * Returns a future that completes when no request runs on the target. Call it while
	 * admission is closed, because new requests can start otherwise.
	 * @return the future, completed on any thread when the last request has ended
	 */
	CompletableFuture<Void> whenDrained();

	/**
	 * Removes one reason; admission opens when none is left. After
	 * {@link CloseReason#SWITCHING} requests start only after the next status report, at
	 * the cold limit.
	 * @param reason the reason that no longer applies
	 */
	void reopen(CloseReason reason);

	/**
	 * Returns the number of requests that run on the target.
	 * @return the number of requests
	 */
	int running();

}
