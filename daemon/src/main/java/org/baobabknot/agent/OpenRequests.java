package org.baobabknot.agent;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Requests that have not ended, by which a drain knows when the agent may exit.
 */
final class OpenRequests {

	private final Set<AgentRequest> open = ConcurrentHashMap.newKeySet();

	private final CompletableFuture<Void> empty = new CompletableFuture<>();

	private volatile boolean draining;

	void add(AgentRequest request) {
		this.open.add(request);
	}

	void remove(AgentRequest request) {
		this.open.remove(request);
		check();
	}

	int size() {
		return this.open.size();
	}

	/**
	 * Waits until no request is open. Admission is closed before, so none is added for
	 * long.
	 * @return completed when the last request has ended
	 */
	CompletableFuture<Void> drained() {
		this.draining = true;
		check();
		return this.empty;
	}

	private void check() {
		if (this.draining && this.open.isEmpty()) {
			this.empty.complete(null);
		}
	}

}
