package org.baobabknot.gossip;

import java.util.Optional;
import java.util.function.Predicate;

import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.ConnectionFailure;
import org.baobabknot.protocol.ConnectionListener;
import org.baobabknot.protocol.FrameHandler;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.Hello;
import org.baobabknot.protocol.generated.Knowledge;
import org.baobabknot.protocol.generated.Load;
import org.baobabknot.protocol.generated.Role;
import org.jspecify.annotations.Nullable;

/**
 * Validates the Hello of peers, and dispatches the events of all connections of this
 * process to the components that handle them.
 */
public final class ConnectionEventDispatcher implements ConnectionListener {

	private final StreamRouter streams;

	private final Peers peers;

	private final RuleSync rules;

	private final MemberSync members;

	private final Predicate<String> isOperatorToken;

	private final @Nullable String expectedInstance;

	/**
	 * Creates the listener of accepted connections.
	 * @param streams dispatches frames by kind
	 * @param peers open connections
	 * @param rules receives the rules revisions that peers announce
	 * @param members receives the member list versions that peers announce
	 * @param isOperatorToken whether a token authenticates an operator
	 */
	public ConnectionEventDispatcher(StreamRouter streams, Peers peers, RuleSync rules, MemberSync members,
			Predicate<String> isOperatorToken) {
		this(streams, peers, rules, members, isOperatorToken, null);
	}

	private ConnectionEventDispatcher(StreamRouter streams, Peers peers, RuleSync rules, MemberSync members,
			Predicate<String> isOperatorToken, @Nullable String expectedInstance) {
		this.streams = streams;
		this.peers = peers;
		this.rules = rules;
		this.members = members;
		this.isOperatorToken = isOperatorToken;
		this.expectedInstance = expectedInstance;
	}

	/**
	 * Creates the listener of one outgoing connection. It refuses a peer with another
	 * instance name, because addresses are reused when instances are replaced.
	 * @param instance instance name that the peer must have
	 * @return the listener
	 */
	ConnectionEventDispatcher withExpectedInstance(String instance) {
		return new ConnectionEventDispatcher(this.streams, this.peers, this.rules, this.members, this.isOperatorToken,
				instance);
	}

	@Override
	public Optional<String> refusalReason(Hello hello) {
		if (hello.getInstance().isEmpty()) {
			return Optional.of("no instance name");
		}
		if (this.expectedInstance != null && !this.expectedInstance.equals(hello.getInstance())) {
			return Optional.of("instance " + hello.getInstance() + ", expected " + this.expectedInstance);
		}
		return switch (hello.getRole()) {
			case ENTRY, AGENT -> Optional.empty();
			case OPERATOR -> (this.isOperatorToken.test(hello.getToken())) ? Optional.empty()
					: Optional.of("operator token is wrong");
			default -> Optional.of("unknown role");
		};
	}

	@Override
	public void onOpened(Connection connection) {
		if (!isOperator(connection)) {
			this.peers.addConnection(connection);
		}
	}

	@Override
	public @Nullable FrameHandler onStreamOpened(Stream stream, Frame first) {
		return this.streams.acceptStream(stream, first);
	}

	@Override
	public void onFrame(Connection connection, Frame frame) {
		this.streams.handleMessage(connection, frame);
	}

	@Override
	public void onKnowledge(Connection connection, Knowledge knowledge) {
		if (!isOperator(connection)) {
			this.rules.onPeerRevision(connection, knowledge.getRulesRevision());
			this.members.onPeerVersion(connection, knowledge.getMembersVersion());
		}
	}

	@Override
	public void onPong(Connection connection, @Nullable Load load) {
		this.peers.notifyPong(connection, load);
	}

	@Override
	public void onClosed(Connection connection, ConnectionFailure failure) {
		this.peers.removeConnection(connection, failure);
	}

	private static boolean isOperator(Connection connection) {
		return connection.peerHello().getRole() == Role.OPERATOR;
	}

}
