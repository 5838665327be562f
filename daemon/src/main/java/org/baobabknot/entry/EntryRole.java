package org.baobabknot.entry;

import java.util.concurrent.CompletableFuture;

import org.baobabknot.daemon.Node;
import org.baobabknot.daemon.Role;

/**
 * Role of an entry.
 */
public final class EntryRole implements Role {

	/**
	 * Creates the role.
	 * @param node parts of the process
	 */
	public EntryRole(Node node) {
	}

	@Override
	public CompletableFuture<Void> start() {
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public CompletableFuture<Void> drain(String reason) {
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public boolean ready() {
		return false;
	}

	@Override
	public void close() {
	}

}
