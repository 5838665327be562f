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
 * Passes what peers send to the part of the process that handles it, by the kind of the
 * frame. Kinds are registered before the process accepts connections.
 */
public final class StreamRouter {

	// An operator's token grants reading and orders, not the request path.
	private static final Set<Frame.BodyCase> FOR_OPERATORS = Set.of(Frame.BodyCase.STATUS_PULL,
			Frame.BodyCase.TIMELINE_PULL, Frame.BodyCase.RULES_PULL, Frame.BodyCase.MEMBERS_PULL,
			Frame.BodyCase.RULES_VALUE, Frame.BodyCase.DRAIN_ORDER);

	private final Map<Frame.BodyCase, StreamOpener> openers = new ConcurrentHashMap<>();

	private final Map<Frame.BodyCase, MessageHandler> messages = new ConcurrentHashMap<>();

	/**
	 * Registers the handler of streams that start with one kind of frame.
	 * @param kind kind of the first frame
	 * @param opener accepts the streams
	 */
	public void on(Frame.BodyCase kind, StreamOpener opener) {
		if (this.openers.putIfAbsent(kind, opener) != null) {
			throw new IllegalStateException(kind + " has a handler already");
		}
	}

	/**
	 * Registers the handler of one kind of frame on stream 0.
	 * @param kind kind of frame
	 * @param handler receives the frames
	 */
	public void onMessage(Frame.BodyCase kind, MessageHandler handler) {
		if (this.messages.putIfAbsent(kind, handler) != null) {
			throw new IllegalStateException(kind + " has a handler already");
		}
	}

	@Nullable FrameHandler open(Stream stream, Frame first) {
		boolean operator = stream.connection().peerHello().getRole() == Role.OPERATOR;
		StreamOpener opener = this.openers.get(first.getBodyCase());
		if (opener == null || (operator && !FOR_OPERATORS.contains(first.getBodyCase()))) {
			return null;
		}
		return opener.opened(stream, first);
	}

	void received(Connection connection, Frame frame) {
		MessageHandler handler = this.messages.get(frame.getBodyCase());
		boolean operator = connection.peerHello().getRole() == Role.OPERATOR;
		if (handler != null && (!operator || FOR_OPERATORS.contains(frame.getBodyCase()))) {
			handler.received(connection, frame);
		}
	}

}
