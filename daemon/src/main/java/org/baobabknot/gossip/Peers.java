package org.baobabknot.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.Failure;
import org.baobabknot.protocol.generated.Load;
import org.baobabknot.protocol.generated.Role;
import org.jspecify.annotations.Nullable;

/**
 * Open connections of this process, by instance. Operators and bulk connections are not
 * among them. Thread-safe.
 */
public final class Peers {

	private final Map<String, List<Connection>> byInstance = new ConcurrentHashMap<>();

	private final Set<Connection> all = ConcurrentHashMap.newKeySet();

	private final List<PeerListener> listeners = new CopyOnWriteArrayList<>();

	/**
	 * Adds a listener, which is called on the event loops of the connections.
	 * @param listener the listener
	 */
	public void listen(PeerListener listener) {
		this.listeners.add(listener);
	}

	/**
	 * The newest open connection to an instance.
	 * @param instance name of the instance
	 * @return the connection, empty if there is none
	 */
	public Optional<Connection> connection(String instance) {
		List<Connection> open = this.byInstance.get(instance);
		return (open == null || open.isEmpty()) ? Optional.empty() : Optional.of(open.get(open.size() - 1));
	}

	/**
	 * All open connections.
	 * @return a copy
	 */
	public List<Connection> all() {
		return new ArrayList<>(this.all);
	}

	/**
	 * Number of open connections.
	 * @return number of connections
	 */
	public int count() {
		return this.all.size();
	}

	/**
	 * Whether an entry of a failure domain is connected.
	 * @param domain the failure domain
	 * @return true if at least one is
	 */
	public boolean hasEntryOf(String domain) {
		return this.all.stream()
			.anyMatch((connection) -> connection.peerHello().getRole() == Role.ENTRY
					&& connection.peerHello().getFailureDomain().equals(domain));
	}

	/**
	 * Pings every peer at once, which tells it what this process knows.
	 */
	public void pingAll() {
		this.all.forEach(Connection::ping);
	}

	void opened(Connection connection) {
		this.all.add(connection);
		this.byInstance.compute(connection.peerName(), (name, open) -> {
			List<Connection> changed = (open != null) ? new ArrayList<>(open) : new ArrayList<>();
			changed.add(connection);
			return changed;
		});
		this.listeners.forEach((listener) -> listener.opened(connection));
	}

	void pong(Connection connection, @Nullable Load load) {
		this.listeners.forEach((listener) -> listener.pong(connection, load));
	}

	void closed(Connection connection, Failure failure) {
		if (!this.all.remove(connection)) {
			return;
		}
		this.byInstance.computeIfPresent(connection.peerName(), (name, open) -> {
			List<Connection> changed = new ArrayList<>(open);
			changed.remove(connection);
			return (changed.isEmpty()) ? null : changed;
		});
		this.listeners.forEach((listener) -> listener.closed(connection, failure));
	}

}
