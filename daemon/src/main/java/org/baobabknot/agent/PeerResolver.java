package org.baobabknot.agent;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.baobabknot.daemon.ProcessContext;
import org.baobabknot.membership.Member;
import org.baobabknot.protocol.ConnectResult;
import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.ConnectionFailure;
import org.baobabknot.protocol.ConnectionListener;
import org.baobabknot.protocol.Connector;
import org.baobabknot.protocol.FrameHandler;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.Resolve;
import org.baobabknot.protocol.generated.ResponseStart;
import org.baobabknot.record.Claim;
import org.baobabknot.record.Resolution;
import org.baobabknot.record.StoredResponse;
import org.jspecify.annotations.Nullable;

/**
 * Requests the outcome of claimed idempotency keys from the agents that claimed them. The
 * outcome is unknown if the agent cannot be reached or has another incarnation.
 */
final class PeerResolver {

	private static final long TIMEOUT_MS = 2_000;

	private final ProcessContext process;

	private final Connector connector;

	private final String service;

	PeerResolver(ProcessContext process, String service) {
		this.process = process;
		this.service = service;
		this.connector = new Connector(process.group(), process.connectionSettings(), process.localState(),
				process.clientTls(), process.counters());
	}

	/**
	 * Requests the outcome from the agent that made a claim.
	 * @param claim the claim
	 * @return the outcome, unknown after a timeout; never completed exceptionally
	 */
	CompletableFuture<Resolution> resolve(Claim claim) {
		CompletableFuture<Resolution> outcome = new CompletableFuture<>();
		Optional<Connection> connection = this.process.peers().connection(claim.instance()).filter(Connection::isOpen);
		if (connection.isPresent()) {
			resolve(connection.get(), claim, outcome);
		}
		else {
			connectAndResolve(claim, outcome);
		}
		return outcome.completeOnTimeout(new Resolution.Unknown(), TIMEOUT_MS, TimeUnit.MILLISECONDS);
	}

	private void connectAndResolve(Claim claim, CompletableFuture<Resolution> outcome) {
		Optional<Member> member = this.process.membership().member(claim.instance());
		if (member.isEmpty()) {
			outcome.complete(new Resolution.Unknown());
			return;
		}
		this.connector.connect(member.get().host(), member.get().port(), new ConnectionListener() {
		}).thenAccept((result) -> {
			if (!(result instanceof ConnectResult.Connected connected)) {
				outcome.complete(new Resolution.Unknown());
				return;
			}
			resolve(connected.connection(), claim, outcome);
			outcome.whenComplete((resolution, error) -> connected.connection()
				.close(new ConnectionFailure("resolve", claim.instance(), "question answered")));
		});
	}

	private void resolve(Connection connection, Claim claim, CompletableFuture<Resolution> outcome) {
		boolean sameAgent = connection.peerHello().getInstance().equals(claim.instance())
				&& connection.peerHello().getIncarnation() == claim.incarnation();
		if (!sameAgent) {
			outcome.complete(new Resolution.Unknown());
			return;
		}
		Resolve.Builder resolve = Resolve.newBuilder()
			.setAgentIncarnation(claim.incarnation())
			.setIdempotencyKey(claim.key().toString())
			.setService(this.service);
		ResolutionReader reader = new ResolutionReader(outcome);
		Stream stream = connection.open(Frame.newBuilder().setResolve(resolve), reader);
		outcome.whenComplete((resolution, error) -> stream.close());
	}

	/**
	 * Reads a resolution and the recorded response that may follow it.
	 */
	private static final class ResolutionReader implements FrameHandler {

		private final CompletableFuture<Resolution> outcome;

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private @Nullable ResponseStart head;

		ResolutionReader(CompletableFuture<Resolution> outcome) {
			this.outcome = outcome;
		}

		@Override
		public void onFrame(Stream stream, Frame frame) {
			switch (frame.getBodyCase()) {
				case RESOLUTION -> readResolution(frame);
				case RESPONSE_START -> readHead(frame.getResponseStart());
				case BODY_PART -> {
					this.body.writeBytes(frame.getBodyPart().getData().toByteArray());
					stream.recordConsumed(frame.getBodyPart().getData().size());
				}
				case BODY_END -> completeWithResponse();
				default -> this.outcome.complete(new Resolution.Unknown());
			}
		}

		private void readHead(ResponseStart start) {
			this.head = start;
		}

		private void readResolution(Frame frame) {
			switch (frame.getResolution().getOutcome()) {
				case NOT_RUN -> this.outcome.complete(new Resolution.NotRun());
				case RUNNING -> this.outcome.complete(new Resolution.Running());
				case RAN -> {
					if (!frame.getResolution().getResultFollows()) {
						this.outcome.complete(new Resolution.Ran(new StoredResponse(0, List.of(), "", "", null)));
					}
				}
				default -> this.outcome.complete(new Resolution.Unknown());
			}
		}

		private void completeWithResponse() {
			ResponseStart start = this.head;
			if (start == null) {
				this.outcome.complete(new Resolution.Unknown());
				return;
			}
			List<Map.Entry<String, String>> headers = new ArrayList<>();
			start.getHeadersList().forEach((header) -> headers.add(Map.entry(header.getName(), header.getValue())));
			this.outcome.complete(new Resolution.Ran(new StoredResponse(start.getStatus(), headers, start.getVersion(),
					start.getDigest(), this.body.toByteArray())));
		}

		@Override
		public void onConnectionLost(Stream stream, ConnectionFailure failure) {
			this.outcome.complete(new Resolution.Unknown());
		}

	}

}
