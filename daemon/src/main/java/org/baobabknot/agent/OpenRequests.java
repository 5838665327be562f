package org.baobabknot.agent;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Tracks the requests that have not ended, so that a drain can wait for them before the
 * agent exits.
 */
final class OpenRequests {

	private final Set<AgentRequest> open = ConcurrentHashMap.newKeySet();

	private final CompletableFuture<Void> drained = new CompletableFuture<>();

	private volatile boolean draining;

	void add(AgentRequest request) {
		this.open.add(request);
	}

	void remove(AgentRequest request) {
		this.open.remove(request);
		completeIfDrained();
	}

	int size() {
		return this.open.size();
	}

	/**
	 * Returns a future that completes when no request is open. Admission must be closed
	 * before, so that requests added later end soon.
	 * @return the future
	 */
	CompletableFuture<Void> whenDrained() {
		this.draining = true;
		completeIfDrained();
		return this.drained;
	}

	/**
	 * Ends all open requests, because the process ends.
	 * @return number of requests that were open
	 */
	int endAll() {
		int count = this.open.size();
		this.open.forEach(AgentRequest::processEnding);
		return count;
	}

	private void completeIfDrained() {
		if (this.draining && this.open.isEmpty()) {
			this.drained.complete(null);
		}
	}

}
