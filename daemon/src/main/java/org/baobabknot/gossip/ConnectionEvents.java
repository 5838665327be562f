package org.baobabknot.gossip;

import java.util.Optional;
import java.util.function.Predicate;

import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.ConnectionListener;
import org.baobabknot.protocol.Failure;
import org.baobabknot.protocol.FrameHandler;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.Hello;
import org.baobabknot.protocol.generated.Knowledge;
import org.baobabknot.protocol.generated.Load;
import org.baobabknot.protocol.generated.Role;
import org.jspecify.annotations.Nullable;

/**
 * Checks the peers' Hello, and passes the events of all connections of a process to the
 * parts that handle them.
 */
public final class ConnectionEvents implements ConnectionListener {

	private final StreamRouter streams;

	private final Peers peers;

	private final RuleSync rules;

	private final MemberSync members;

	private final Predicate<String> operatorToken;

	private final @Nullable String expected;

	/**
	 * Creates the listener of accepted connections.
	 * @param streams handlers of frames
	 * @param peers open connections
	 * @param rules told of revisions
	 * @param members told of versions of the member list
	 * @param operatorToken checks the token of operators
	 */
	public ConnectionEvents(StreamRouter streams, Peers peers, RuleSync rules, MemberSync members,
			Predicate<String> operatorToken) {
		this(streams, peers, rules, members, operatorToken, null);
	}

	private ConnectionEvents(StreamRouter streams, Peers peers, RuleSync rules, MemberSync members,
			Predicate<String> operatorToken, @Nullable String expected) {
		this.streams = streams;
		this.peers = peers;
		this.rules = rules;
		this.members = members;
		this.operatorToken = operatorToken;
		this.expected = expected;
	}

	/**
	 * Listener of one outgoing connection. Addresses are reused when instances are
	 * replaced, so a peer with another name is refused.
	 * @param instance name that the peer must have
	 * @return the listener
	 */
	ConnectionEvents expecting(String instance) {
		return new ConnectionEvents(this.streams, this.peers, this.rules, this.members, this.operatorToken, instance);
	}

	@Override
	public Optional<String> refusalReason(Hello hello) {
		if (hello.getInstance().isEmpty()) {
			return Optional.of("no instance name");
		}
		if (this.expected != null && !this.expected.equals(hello.getInstance())) {
			return Optional.of("instance " + hello.getInstance() + ", expected " + this.expected);
		}
		return switch (hello.getRole()) {
			case ENTRY, AGENT -> Optional.empty();
			case OPERATOR ->
				(this.operatorToken.test(hello.getToken())) ? Optional.empty() : Optional.of("operator token is wrong");
			default -> Optional.of("unknown role");
		};
	}

	@Override
	public void onOpened(Connection connection) {
		if (!operator(connection)) {
			this.peers.opened(connection);
		}
	}

	@Override
	public @Nullable FrameHandler onStreamOpened(Stream stream, Frame first) {
		return this.streams.open(stream, first);
	}

	@Override
	public void onFrame(Connection connection, Frame frame) {
		this.streams.received(connection, frame);
	}

	@Override
	public void onKnowledge(Connection connection, Knowledge knowledge) {
		if (!operator(connection)) {
			this.rules.learned(connection, knowledge.getRulesRevision());
			this.members.learned(connection, knowledge.getMembersVersion());
		}
	}

	@Override
	public void onPong(Connection connection, @Nullable Load load) {
		this.peers.pong(connection, load);
	}

	@Override
	public void onClosed(Connection connection, Failure failure) {
		this.peers.closed(connection, failure);
	}

	private static boolean operator(Connection connection) {
		return connection.peerHello().getRole() == Role.OPERATOR;
	}

}
