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
 * Handles the status pulls, timeline pulls and drain orders of operators.
 */
final class OperatorRequestHandler {

	private static final int MAX_EVENTS = 1_000;

	private final ProcessContext context;

	private final Consumer<String> drainAction;

	private volatile boolean isDraining;

	OperatorRequestHandler(ProcessContext context, Consumer<String> drainAction) {
		this.context = context;
		this.drainAction = drainAction;
		StreamRouter streams = context.streams();
		streams.addAcceptor(Frame.BodyCase.STATUS_PULL, this::handleStatusPull);
		streams.addAcceptor(Frame.BodyCase.TIMELINE_PULL, this::handleTimelinePull);
		streams.addAcceptor(Frame.BodyCase.DRAIN_ORDER, this::handleDrainOrder);
	}

	void markDraining() {
		this.isDraining = true;
	}

	private @Nullable FrameHandler handleStatusPull(Stream stream, Frame first) {
		StatusValue.Builder status = StatusValue.newBuilder()
			.setInstance(this.context.settings().instance())
			.setIncarnation(this.context.incarnation())
			.setRole(ProcessState.toMessageRole(this.context.settings().role()))
			.setFailureDomain(this.context.settings().failureDomain())
			.setRulesRevision(this.context.configuration().revision())
			.setMembersVersion(this.context.membership().version())
			.setDraining(this.isDraining)
			.setConnected(this.context.peers().connectionCount());
		this.context.statusReport().fillStatus(status);
		stream.send(Frame.newBuilder().setStatusValue(status));
		return null;
	}

	private @Nullable FrameHandler handleTimelinePull(Stream stream, Frame first) {
		int limit = first.getTimelinePull().getLimit();
		TimelineValue.Builder value = TimelineValue.newBuilder();
		this.context.events()
			.timeline()
			.after(first.getTimelinePull().getAfterClock(), (limit <= 0 || limit > MAX_EVENTS) ? MAX_EVENTS : limit)
			.forEach((event) -> value.addEvents(TimelineEvent.newBuilder()
				.setClock(event.clock())
				.setInstance(event.instance())
				.setKind(event.kind())
				.setDetail(event.detail())));
		stream.send(Frame.newBuilder().setTimelineValue(value));
		return null;
	}

	private @Nullable FrameHandler handleDrainOrder(Stream stream, Frame first) {
		stream.send(Frame.newBuilder().setDrainAccepted(DrainAccepted.getDefaultInstance()));
		this.drainAction.accept(first.getDrainOrder().getReason() + ", ordered by " + stream.connection().peerName());
		return null;
	}

}
