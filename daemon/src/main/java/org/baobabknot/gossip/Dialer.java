package org.baobabknot.gossip;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.baobabknot.membership.Member;
import org.baobabknot.protocol.ConnectResult;
import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.ConnectionFailure;
import org.baobabknot.protocol.ConnectionListener;
import org.baobabknot.protocol.Connector;
import org.jspecify.annotations.Nullable;

/**
 * Keeps one connection open to each member of a changing set. A lost connection is
 * reopened at once; failed connection attempts are retried with jittered exponential
 * backoff.
 */
public final class Dialer {

	private static final long INITIAL_DELAY_MS = 50;

	private static final long MAX_DELAY_MS = 2_000;

	private final Connector connector;

	private final ConnectionEventDispatcher events;

	private final EventLoop loop;

	private final Map<String, ManagedPeer> managedPeers = new HashMap<>();

	/**
	 * Creates a dialer with an empty set.
	 * @param connector opens connections
	 * @param events receives the events of the connections
	 * @param loop event loop on which all changes of the set run
	 */
	public Dialer(Connector connector, ConnectionEventDispatcher events, EventLoop loop) {
		this.connector = connector;
		this.events = events;
		this.loop = loop;
	}

	/**
	 * Replaces the set of members to connect to. Connections to members that are no
	 * longer in the set are closed after their last stream has ended.
	 * @param members members by instance name
	 */
	public void setMembers(Map<String, Member> members) {
		this.loop.execute(() -> replaceMembers(members));
	}

	/**
	 * Closes all connections.
	 */
	public void close() {
		this.loop.execute(() -> {
			this.managedPeers.values().forEach((peer) -> peer.stop(true));
			this.managedPeers.clear();
		});
	}

	private void replaceMembers(Map<String, Member> members) {
		this.managedPeers.entrySet().removeIf((managed) -> {
			Member member = members.get(managed.getKey());
			if (member != null && managed.getValue().hasAddressOf(member)) {
				return false;
			}
			managed.getValue().stop(false);
			return true;
		});
		members.forEach((instance, member) -> this.managedPeers.computeIfAbsent(instance, (name) -> {
			ManagedPeer peer = new ManagedPeer(member);
			peer.connect();
			return peer;
		}));
	}

	/**
	 * Connection state of one member. Used on the dialer's event loop only.
	 */
	private final class ManagedPeer {

		private final Member member;

		private @Nullable Connection connection;

		private long delayMs = INITIAL_DELAY_MS;

		private boolean stopped;

		ManagedPeer(Member member) {
			this.member = member;
		}

		boolean hasAddressOf(Member other) {
			return this.member.host().equals(other.host()) && this.member.port() == other.port();
		}

		void connect() {
			if (this.stopped) {
				return;
			}
			ConnectionListener listener = Dialer.this.events.withExpectedInstance(this.member.instance());
			Dialer.this.connector.connect(this.member.host(), this.member.port(), listener)
				.thenAccept((result) -> Dialer.this.loop.execute(() -> onConnectResult(result)));
		}

		private void onConnectResult(ConnectResult result) {
			if (result instanceof ConnectResult.Connected open) {
				this.delayMs = INITIAL_DELAY_MS;
				this.connection = open.connection();
				open.connection().whenClosed().thenAccept((failure) -> Dialer.this.loop.execute(this::connect));
				if (this.stopped) {
					stop(true);
				}
				return;
			}
			long jitterMs = ThreadLocalRandom.current().nextLong(this.delayMs / 2 + 1);
			Dialer.this.loop.schedule(this::connect, this.delayMs / 2 + jitterMs, TimeUnit.MILLISECONDS);
			this.delayMs = Math.min(MAX_DELAY_MS, this.delayMs * 2);
		}

		void stop(boolean immediately) {
			this.stopped = true;
			Connection open = this.connection;
			if (open == null || !open.isOpen()) {
				return;
			}
			ConnectionFailure failure = new ConnectionFailure("connection", this.member.instance(), "no longer wanted");
			if (immediately) {
				open.close(failure);
				return;
			}
			// Streams that other threads are opening are counted on the loop of the
			// connection only.
			open.eventLoop().execute(() -> {
				if (open.openStreams() == 0) {
					open.close(failure);
				}
			});
			Dialer.this.loop.schedule(() -> stop(false), MAX_DELAY_MS, TimeUnit.MILLISECONDS);
		}

	}

}
