package org.baobabknot.agent;

import java.util.concurrent.CompletableFuture;

import org.baobabknot.admission.CloseReason;

/**
 * Closes and reopens the admission of requests to the target. Thread-safe.
 */
public interface AdmissionGate {

	/**
	 * Closes admission and refuses the requests that wait. Has no effect on requests that
	 * run.
	 * @param reason the reason, to be reopened separately
	 */
	void close(CloseReason reason);

	/**
	 * Waits until no request runs on the target. Meaningful while admission is closed.
	 * @return completed on any thread when the last request has ended
	 */
	CompletableFuture<Void> whenDrained();

	/**
	 * Removes one reason. After {@link CloseReason#SWITCHING} requests start at the cold
	 * limit, and only after the next status report.
	 * @param reason the reason that no longer applies
	 */
	void reopen(CloseReason reason);

	/**
	 * Returns the number of requests that run on the target.
	 * @return the number of requests
	 */
	int running();

}
