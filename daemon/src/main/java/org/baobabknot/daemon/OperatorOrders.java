package org.baobabknot.daemon;

import java.util.function.Consumer;

import org.baobabknot.gossip.StreamRouter;
import org.baobabknot.protocol.FrameHandler;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.DrainAccepted;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.StatusValue;
import org.baobabknot.protocol.generated.TimelineEvent;
import org.baobabknot.protocol.generated.TimelineValue;
import org.jspecify.annotations.Nullable;

/**
 * Answers operators' pulls and takes their orders.
 */
final class OperatorOrders {

	private static final int MOST_EVENTS = 1_000;

	private final Node node;

	private final Consumer<String> drain;

	private volatile boolean draining;

	OperatorOrders(Node node, Consumer<String> drain) {
		this.node = node;
		this.drain = drain;
		StreamRouter streams = node.streams();
		streams.addAcceptor(Frame.BodyCase.STATUS_PULL, this::status);
		streams.addAcceptor(Frame.BodyCase.TIMELINE_PULL, this::timeline);
		streams.addAcceptor(Frame.BodyCase.DRAIN_ORDER, this::order);
	}

	void draining() {
		this.draining = true;
	}

	private @Nullable FrameHandler status(Stream stream, Frame first) {
		StatusValue.Builder status = StatusValue.newBuilder()
			.setInstance(this.node.settings().instance())
			.setIncarnation(this.node.incarnation())
			.setRole(NodeState.role(this.node.settings().role()))
			.setFailureDomain(this.node.settings().failureDomain())
			.setRulesRevision(this.node.configuration().revision())
			.setMembersVersion(this.node.membership().version())
			.setDraining(this.draining)
			.setConnected(this.node.peers().connectionCount());
		this.node.report().fill(status);
		stream.send(Frame.newBuilder().setStatusValue(status));
		return null;
	}

	private @Nullable FrameHandler timeline(Stream stream, Frame first) {
		int limit = first.getTimelinePull().getLimit();
		TimelineValue.Builder value = TimelineValue.newBuilder();
		this.node.events()
			.timeline()
			.after(first.getTimelinePull().getAfterClock(), (limit <= 0 || limit > MOST_EVENTS) ? MOST_EVENTS : limit)
			.forEach((event) -> value.addEvents(TimelineEvent.newBuilder()
				.setClock(event.clock())
				.setInstance(event.instance())
				.setKind(event.kind())
				.setDetail(event.detail())));
		stream.send(Frame.newBuilder().setTimelineValue(value));
		return null;
	}

	private @Nullable FrameHandler order(Stream stream, Frame first) {
		stream.send(Frame.newBuilder().setDrainAccepted(DrainAccepted.getDefaultInstance()));
		this.drain.accept(first.getDrainOrder().getReason() + ", ordered by " + stream.connection().peerName());
		return null;
	}

}
