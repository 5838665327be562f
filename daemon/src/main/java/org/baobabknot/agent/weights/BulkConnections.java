package org.baobabknot.agent.weights;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.baobabknot.daemon.ProcessContext;
import org.baobabknot.membership.Member;
import org.baobabknot.protocol.ConnectResult;
import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.ConnectionFailure;
import org.baobabknot.protocol.ConnectionListener;
import org.baobabknot.protocol.Connector;
import org.baobabknot.protocol.FrameHandler;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.Hello;
import org.jspecify.annotations.Nullable;

/**
 * Pools connections that are used only for chunks and manifests, so that a chunk never
 * delays a live request in the send queue of a socket. Each connection carries one
 * transfer at a time. Thread-safe.
 */
final class BulkConnections {

	private static final int MAX_IDLE_PER_PEER = 2;

	private final ProcessContext process;

	private final Connector connector;

	private final Map<String, Deque<Connection>> idle = new HashMap<>();

	BulkConnections(ProcessContext process) {
		this.process = process;
		this.connector = new Connector(process.group(), process.connectionSettings(), process.localState(),
				process.clientTls(), process.counters());
	}

	/**
	 * Returns an idle connection to a peer or opens a new one.
	 * @param instance the peer
	 * @return the connection, or empty if the peer cannot be reached
	 */
	CompletableFuture<Optional<Connection>> acquire(String instance) {
		synchronized (this.idle) {
			Deque<Connection> idleConnections = this.idle.getOrDefault(instance, new ArrayDeque<>());
			while (!idleConnections.isEmpty()) {
				Connection connection = idleConnections.removeLast();
				if (connection.isOpen()) {
					return CompletableFuture.completedFuture(Optional.of(connection));
				}
			}
		}
		Optional<Member> member = this.process.membership().member(instance);
		if (member.isEmpty()) {
			return CompletableFuture.completedFuture(Optional.empty());
		}
		return this.connector.connect(member.get().host(), member.get().port(), new Listener(instance))
			.thenApply((result) -> (result instanceof ConnectResult.Connected connected)
					? Optional.of(connected.connection()) : Optional.empty());
	}

	/**
	 * Returns a connection to the pool after a completed transfer, or closes it if enough
	 * connections are idle.
	 * @param instance the peer
	 * @param connection the connection
	 */
	void release(String instance, Connection connection) {
		synchronized (this.idle) {
			Deque<Connection> idleConnections = this.idle.computeIfAbsent(instance, (absent) -> new ArrayDeque<>());
			if (idleConnections.size() < MAX_IDLE_PER_PEER) {
				idleConnections.addLast(connection);
				return;
			}
		}
		connection.close(new ConnectionFailure("transfer", instance, "no longer needed"));
	}

	void close() {
		synchronized (this.idle) {
			this.idle.values()
				.forEach((known) -> known.forEach((connection) -> connection
					.close(new ConnectionFailure("transfer", connection.peerName(), "the agent stops"))));
			this.idle.clear();
		}
	}

	/**
	 * Forwards messages to the listener of the process, because the accepting peer may
	 * send gossip on any connection. The connection is not registered among the open
	 * connections of this process.
	 */
	private final class Listener implements ConnectionListener {

		private final String instance;

		private Listener(String instance) {
			this.instance = instance;
		}

		@Override
		public Optional<String> refusalReason(Hello hello) {
			return hello.getInstance().equals(this.instance) ? Optional.empty()
					: Optional.of("instance " + hello.getInstance() + ", expected " + this.instance);
		}

		@Override
		public @Nullable FrameHandler onStreamOpened(Stream stream, Frame first) {
			return BulkConnections.this.process.connectionListener().onStreamOpened(stream, first);
		}

		@Override
		public void onFrame(Connection connection, Frame frame) {
			BulkConnections.this.process.connectionListener().onFrame(connection, frame);
		}

	}

}
