package org.baobabknot.daemon;

import java.util.concurrent.CompletableFuture;

/**
 * The part of a process that is specific to entries or to agents. A role is constructed
 * with its {@link ProcessContext}; its constructor registers handlers at
 * {@link ProcessContext#streams} and sources at {@link ProcessContext#statusReport},
 * before the process accepts connections.
 */
public interface Role {

	/**
	 * Starts the role. The process port is open, but the first rules and the member list
	 * may not have been received yet.
	 * @return completed when the role has started; exceptionally if it cannot start,
	 * which ends the process
	 */
	CompletableFuture<Void> start();

	/**
	 * Refuses new work and completes the work in flight. Called at SIGTERM and on an
	 * operator's drain order; a second call returns the same result.
	 * @param reason shown on the timeline
	 * @return completed when no work is in flight
	 */
	CompletableFuture<Void> drain(String reason);

	/**
	 * Ends the work that is still in flight at the end of the process: each request gets
	 * a response that is true whether it has run or not, and a line in the log.
	 * @return number of requests that were ended
	 */
	int endOpenRequests();

	/**
	 * Whether the role accepts new work, as reported by {@code /readyz}.
	 * @return false while starting, draining or out of service
	 */
	boolean isReady();

	/**
	 * Releases the resources of the role without waiting.
	 */
	void close();

}
