package org.baobabknot.gossip;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.FrameHandler;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.Role;
import org.jspecify.annotations.Nullable;

/**
 * Dispatches the streams and messages of peers to their handlers by the kind of frame.
 * Handlers are registered before the process accepts connections.
 */
public final class StreamRouter {

	// The operator token permits reads of the state and operator orders, but no requests.
	private static final Set<Frame.BodyCase> OPERATOR_KINDS = Set.of(Frame.BodyCase.STATUS_PULL,
			Frame.BodyCase.TIMELINE_PULL, Frame.BodyCase.RULES_PULL, Frame.BodyCase.MEMBERS_PULL,
			Frame.BodyCase.RULES_VALUE, Frame.BodyCase.DRAIN_ORDER);

	private final Map<Frame.BodyCase, StreamAcceptor> acceptors = new ConcurrentHashMap<>();

	private final Map<Frame.BodyCase, MessageHandler> messageHandlers = new ConcurrentHashMap<>();

	/**
	 * Registers the handler of streams that start with one kind of frame.
	 * @param kind kind of the first frame
	 * @param acceptor accepts the streams
	 */
	public void addAcceptor(Frame.BodyCase kind, StreamAcceptor acceptor) {
		if (this.acceptors.putIfAbsent(kind, acceptor) != null) {
			throw new IllegalStateException(kind + " has a handler already");
		}
	}

	/**
	 * Registers the handler of one kind of frame on stream 0.
	 * @param kind kind of frame
	 * @param handler receives the frames
	 */
	public void addMessageHandler(Frame.BodyCase kind, MessageHandler handler) {
		if (this.messageHandlers.putIfAbsent(kind, handler) != null) {
			throw new IllegalStateException(kind + " has a handler already");
		}
	}

	@Nullable FrameHandler acceptStream(Stream stream, Frame first) {
		boolean isOperator = stream.connection().peerHello().getRole() == Role.OPERATOR;
		StreamAcceptor acceptor = this.acceptors.get(first.getBodyCase());
		if (acceptor == null || (isOperator && !OPERATOR_KINDS.contains(first.getBodyCase()))) {
			return null;
		}
		return acceptor.accept(stream, first);
	}

	void handleMessage(Connection connection, Frame frame) {
		MessageHandler handler = this.messageHandlers.get(frame.getBodyCase());
		boolean isOperator = connection.peerHello().getRole() == Role.OPERATOR;
		if (handler != null && (!isOperator || OPERATOR_KINDS.contains(frame.getBodyCase()))) {
			handler.onMessage(connection, frame);
		}
	}

}
