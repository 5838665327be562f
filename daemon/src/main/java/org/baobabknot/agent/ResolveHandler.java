package org.baobabknot.agent;

import org.baobabknot.gossip.StreamAcceptor;
import org.baobabknot.protocol.FrameHandler;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.Outcome;
import org.baobabknot.protocol.generated.Resolve;
import org.baobabknot.record.Hash128;
import org.baobabknot.record.Resolution;
import org.baobabknot.record.StoredResponse;
import org.jspecify.annotations.Nullable;

/**
 * Returns the outcome of a recorded request. An entry passes the id of the request;
 * another agent passes the hash of an idempotency key that this agent claimed.
 */
final class ResolveHandler implements StreamAcceptor {

	private final AgentContext context;

	ResolveHandler(AgentContext context) {
		this.context = context;
	}

	@Override
	public @Nullable FrameHandler accept(Stream stream, Frame first) {
		Resolution resolution = resolve(first.getResolve());
		org.baobabknot.protocol.generated.Resolution.Builder answer = org.baobabknot.protocol.generated.Resolution
			.newBuilder()
			.setOutcome(toOutcome(resolution));
		if (resolution instanceof Resolution.Ran ran && ran.response().replayable()) {
			stream.send(Frame.newBuilder().setResolution(answer.setResultFollows(true)));
			replay(stream, ran.response());
		}
		else {
			stream.send(Frame.newBuilder().setResolution(answer));
		}
		return null;
	}

	private void replay(Stream stream, StoredResponse result) {
		ResponseFrames.replay(result, this.context.load().get(), stream);
	}

	private Resolution resolve(Resolve request) {
		long now = this.context.node().nowNanos();
		try {
			if (request.getRequestId().size() == Hash128.BYTES) {
				return this.context.record()
					.resolve(Hash128.of(request.getRequestId().toByteArray()), request.getAgentIncarnation(), now);
			}
			return this.context.record()
				.resolveKey(Hash128.parse(request.getIdempotencyKey()), request.getAgentIncarnation(), now);
		}
		catch (IllegalArgumentException ex) {
			return new Resolution.Unknown();
		}
	}

	private static Outcome toOutcome(Resolution resolution) {
		if (resolution instanceof Resolution.Ran) {
			return Outcome.RAN;
		}
		if (resolution instanceof Resolution.Running) {
			return Outcome.RUNNING;
		}
		return (resolution instanceof Resolution.NotRun) ? Outcome.NOT_RUN : Outcome.UNKNOWN;
	}

}
