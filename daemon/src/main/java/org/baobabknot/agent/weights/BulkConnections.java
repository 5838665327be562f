package org.baobabknot.agent.weights;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.baobabknot.daemon.Node;
import org.baobabknot.membership.Member;
import org.baobabknot.protocol.ConnectResult;
import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.ConnectionListener;
import org.baobabknot.protocol.Connector;
import org.baobabknot.protocol.Failure;
import org.baobabknot.protocol.FrameHandler;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.Hello;
import org.jspecify.annotations.Nullable;

/**
 * Connections that carry chunks only, so that a chunk never delays a live request in a
 * socket's queue. Each carries one transfer at a time and is reused. Thread-safe.
 */
final class BulkConnections {

	private static final int IDLE_PER_PEER = 2;

	private final Node node;

	private final Connector connector;

	private final Map<String, Deque<Connection>> idle = new HashMap<>();

	BulkConnections(Node node) {
		this.node = node;
		this.connector = new Connector(node.group(), node.connections(), node.local(), node.clientTls(),
				node.counters());
	}

	/**
	 * Returns an idle connection or opens one.
	 * @param instance the peer
	 * @return the connection, or nothing when the peer cannot be reached
	 */
	CompletableFuture<Optional<Connection>> take(String instance) {
		synchronized (this.idle) {
			Deque<Connection> known = this.idle.getOrDefault(instance, new ArrayDeque<>());
			while (!known.isEmpty()) {
				Connection connection = known.removeLast();
				if (connection.isOpen()) {
					return CompletableFuture.completedFuture(Optional.of(connection));
				}
			}
		}
		Optional<Member> member = this.node.membership().member(instance);
		if (member.isEmpty()) {
			return CompletableFuture.completedFuture(Optional.empty());
		}
		return this.connector.connect(member.get().host(), member.get().port(), new Listener(instance))
			.thenApply((result) -> (result instanceof ConnectResult.Connected connected)
					? Optional.of(connected.connection()) : Optional.empty());
	}

	/**
	 * Takes a connection back after a transfer that ended in order.
	 * @param instance the peer
	 * @param connection the connection
	 */
	void release(String instance, Connection connection) {
		synchronized (this.idle) {
			Deque<Connection> known = this.idle.computeIfAbsent(instance, (absent) -> new ArrayDeque<>());
			if (known.size() < IDLE_PER_PEER) {
				known.addLast(connection);
				return;
			}
		}
		connection.close(new Failure("transfer", instance, "no longer needed"));
	}

	void close() {
		synchronized (this.idle) {
			this.idle.values()
				.forEach((known) -> known.forEach((connection) -> connection
					.close(new Failure("transfer", connection.peerName(), "the agent stops"))));
			this.idle.clear();
		}
	}

	/**
	 * Passes messages on like any connection, because the accepting side may send gossip
	 * on it, but is not among the open connections of this process.
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
			return BulkConnections.this.node.listener().onStreamOpened(stream, first);
		}

		@Override
		public void onFrame(Connection connection, Frame frame) {
			BulkConnections.this.node.listener().onFrame(connection, frame);
		}

	}

}
