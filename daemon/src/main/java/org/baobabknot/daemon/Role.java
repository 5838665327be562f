package org.baobabknot.daemon;

import java.util.concurrent.CompletableFuture;

/**
 * What a process does besides the parts that every process has. A role is constructed
 * with its {@link ProcessContext}; its constructor registers handlers at
 * {@link ProcessContext#streams} and sources at {@link ProcessContext#statusReport},
 * before the process accepts connections.
 */
public interface Role {

	/**
	 * Starts work. The process port is open and the first rules and members may or may
	 * not be known yet.
	 * @return completed when the role runs; exceptionally if it cannot, which ends the
	 * process
	 */
	CompletableFuture<Void> start();

	/**
	 * Stops taking new work and finishes what was started. Called at SIGTERM and on an
	 * operator's order; a second call returns the same result.
	 * @param reason shown on the timeline
	 * @return completed when nothing is open any more
	 */
	CompletableFuture<Void> drain(String reason);

	/**
	 * Whether the role takes new work, for {@code /readyz}.
	 * @return false while starting, draining or out of service
	 */
	boolean isReady();

	/**
	 * Releases what the role holds, without waiting.
	 */
	void close();

}
