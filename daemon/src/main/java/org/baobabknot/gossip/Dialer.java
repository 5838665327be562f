package org.baobabknot.gossip;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.baobabknot.membership.Member;
import org.baobabknot.protocol.ConnectResult;
import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.ConnectionListener;
import org.baobabknot.protocol.Connector;
import org.baobabknot.protocol.Failure;
import org.jspecify.annotations.Nullable;

/**
 * Keeps one connection open to each instance of a changing set. A lost connection is
 * replaced at once; attempts that fail are repeated with a growing, jittered delay.
 */
public final class Dialer {

	private static final long FIRST_DELAY_MS = 50;

	private static final long LONGEST_DELAY_MS = 2_000;

	private final Connector connector;

	private final ConnectionEvents events;

	private final EventLoop loop;

	private final Map<String, Target> targets = new HashMap<>();

	/**
	 * Creates a dialer without targets.
	 * @param connector opens connections
	 * @param events receives their events
	 * @param loop the only thread that changes the set
	 */
	public Dialer(Connector connector, ConnectionEvents events, EventLoop loop) {
		this.connector = connector;
		this.events = events;
		this.loop = loop;
	}

	/**
	 * Replaces the set. Connections to instances that are no longer wanted are closed
	 * when their last stream has ended.
	 * @param wanted members by instance
	 */
	public void want(Map<String, Member> wanted) {
		this.loop.execute(() -> replace(wanted));
	}

	/**
	 * Closes all connections.
	 */
	public void close() {
		this.loop.execute(() -> {
			this.targets.values().forEach((target) -> target.stop(true));
			this.targets.clear();
		});
	}

	private void replace(Map<String, Member> wanted) {
		this.targets.entrySet().removeIf((known) -> {
			Member member = wanted.get(known.getKey());
			if (member != null && known.getValue().at(member)) {
				return false;
			}
			known.getValue().stop(false);
			return true;
		});
		wanted.forEach((instance, member) -> this.targets.computeIfAbsent(instance, (name) -> {
			Target target = new Target(member);
			target.connect();
			return target;
		}));
	}

	/**
	 * One instance of the set; used on the dialer's loop only.
	 */
	private final class Target {

		private final Member member;

		private @Nullable Connection connection;

		private long delay = FIRST_DELAY_MS;

		private boolean stopped;

		Target(Member member) {
			this.member = member;
		}

		boolean at(Member other) {
			return this.member.host().equals(other.host()) && this.member.port() == other.port();
		}

		void connect() {
			if (this.stopped) {
				return;
			}
			ConnectionListener listener = Dialer.this.events.expecting(this.member.instance());
			Dialer.this.connector.connect(this.member.host(), this.member.port(), listener)
				.thenAccept((result) -> Dialer.this.loop.execute(() -> connected(result)));
		}

		private void connected(ConnectResult result) {
			if (result instanceof ConnectResult.Connected open) {
				this.delay = FIRST_DELAY_MS;
				this.connection = open.connection();
				open.connection().whenClosed().thenAccept((failure) -> Dialer.this.loop.execute(this::connect));
				if (this.stopped) {
					stop(true);
				}
				return;
			}
			long jitter = ThreadLocalRandom.current().nextLong(this.delay / 2 + 1);
			Dialer.this.loop.schedule(this::connect, this.delay / 2 + jitter, TimeUnit.MILLISECONDS);
			this.delay = Math.min(LONGEST_DELAY_MS, this.delay * 2);
		}

		void stop(boolean now) {
			this.stopped = true;
			Connection open = this.connection;
			if (open == null || !open.isOpen()) {
				return;
			}
			if (now || open.openStreams() == 0) {
				open.close(new Failure("connection", this.member.instance(), "no longer wanted"));
			}
			else {
				Dialer.this.loop.schedule(() -> stop(false), LONGEST_DELAY_MS, TimeUnit.MILLISECONDS);
			}
		}

	}

}
