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
 * Answers what became of a request. An entry names the id of the request; another agent
 * names the hash of a key that this agent claimed.
 */
final class ResolveHandler implements StreamAcceptor {

	private final AgentParts parts;

	ResolveHandler(AgentParts parts) {
		this.parts = parts;
	}

	@Override
	public @Nullable FrameHandler accept(Stream stream, Frame first) {
		Resolution resolution = resolve(first.getResolve());
		org.baobabknot.protocol.generated.Resolution.Builder answer = org.baobabknot.protocol.generated.Resolution
			.newBuilder()
			.setOutcome(outcome(resolution));
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
		Answers.replay(result, this.parts.load().get(), stream);
	}

	private Resolution resolve(Resolve question) {
		long now = this.parts.node().nowNanos();
		try {
			if (question.getRequestId().size() == Hash128.BYTES) {
				return this.parts.record()
					.resolve(Hash128.of(question.getRequestId().toByteArray()), question.getAgentIncarnation(), now);
			}
			return this.parts.record()
				.resolveKey(Hash128.parse(question.getIdempotencyKey()), question.getAgentIncarnation(), now);
		}
		catch (IllegalArgumentException ex) {
			return new Resolution.Unknown();
		}
	}

	private static Outcome outcome(Resolution resolution) {
		if (resolution instanceof Resolution.Ran) {
			return Outcome.RAN;
		}
		if (resolution instanceof Resolution.Running) {
			return Outcome.RUNNING;
		}
		return (resolution instanceof Resolution.NotRun) ? Outcome.NOT_RUN : Outcome.UNKNOWN;
	}

}
