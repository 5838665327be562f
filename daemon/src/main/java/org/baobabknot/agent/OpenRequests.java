package org.baobabknot.agent;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Requests that have not ended, by which a drain knows when the agent may exit.
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
	 * Waits until no request is open. Admission is closed before, so none is added for
	 * long.
	 * @return completed when the last request has ended
	 */
	CompletableFuture<Void> whenDrained() {
		this.draining = true;
		completeIfDrained();
		return this.drained;
	}

	private void completeIfDrained() {
		if (this.draining && this.open.isEmpty()) {
			this.drained.complete(null);
		}
	}

}
