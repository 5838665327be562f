package org.baobabknot.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.ConnectionFailure;
import org.baobabknot.protocol.generated.Load;
import org.baobabknot.protocol.generated.Role;
import org.jspecify.annotations.Nullable;

/**
 * Registry of the open connections of this process by instance, except connections of
 * operators and bulk connections. Thread-safe.
 */
public final class Peers {

	private final Map<String, List<Connection>> byInstance = new ConcurrentHashMap<>();

	private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

	private final List<PeerListener> listeners = new CopyOnWriteArrayList<>();

	/**
	 * Adds a listener, which is called on the event loops of the connections.
	 * @param listener the listener
	 */
	public void addListener(PeerListener listener) {
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
	public List<Connection> connections() {
		return new ArrayList<>(this.connections);
	}

	/**
	 * Number of open connections.
	 * @return number of connections
	 */
	public int connectionCount() {
		return this.connections.size();
	}

	/**
	 * Whether an entry of a failure domain is connected.
	 * @param domain the failure domain
	 * @return true if at least one is
	 */
	public boolean hasEntryOf(String domain) {
		return this.connections.stream()
			.anyMatch((connection) -> connection.peerHello().getRole() == Role.ENTRY
					&& connection.peerHello().getFailureDomain().equals(domain));
	}

	/**
	 * Pings every peer at once. A ping carries the rules revision and the member list
	 * version of this process.
	 */
	public void pingAll() {
		this.connections.forEach(Connection::ping);
	}

	void addConnection(Connection connection) {
		this.connections.add(connection);
		this.byInstance.compute(connection.peerName(), (name, open) -> {
			List<Connection> updated = (open != null) ? new ArrayList<>(open) : new ArrayList<>();
			updated.add(connection);
			return updated;
		});
		this.listeners.forEach((listener) -> listener.onConnectionOpened(connection));
	}

	void notifyPong(Connection connection, @Nullable Load load) {
		this.listeners.forEach((listener) -> listener.onPong(connection, load));
	}

	void removeConnection(Connection connection, ConnectionFailure failure) {
		if (!this.connections.remove(connection)) {
			return;
		}
		this.byInstance.computeIfPresent(connection.peerName(), (name, open) -> {
			List<Connection> updated = new ArrayList<>(open);
			updated.remove(connection);
			return (updated.isEmpty()) ? null : updated;
		});
		this.listeners.forEach((listener) -> listener.onConnectionClosed(connection, failure));
	}

}
