package org.baobabknot.agent;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.baobabknot.daemon.Node;
import org.baobabknot.membership.Member;
import org.baobabknot.protocol.ConnectResult;
import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.ConnectionListener;
import org.baobabknot.protocol.Connector;
import org.baobabknot.protocol.Failure;
import org.baobabknot.protocol.FrameHandler;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.Resolve;
import org.baobabknot.protocol.generated.ResponseStart;
import org.baobabknot.record.Claim;
import org.baobabknot.record.Resolution;
import org.baobabknot.record.StoredResult;
import org.jspecify.annotations.Nullable;

/**
 * Asks other agents what became of keys that they claimed. An agent that cannot be
 * reached or has another incarnation is gone, and the outcome is unknown.
 */
final class PeerQuestions {

	private static final long TIMEOUT_MILLIS = 2_000;

	private final Node node;

	private final Connector connector;

	private final String service;

	PeerQuestions(Node node, String service) {
		this.node = node;
		this.service = service;
		this.connector = new Connector(node.group(), node.connections(), node.local(), node.clientTls(),
				node.counters());
	}

	/**
	 * Asks the agent that made a claim.
	 * @param claim the claim
	 * @return the answer, never completed exceptionally
	 */
	CompletableFuture<Resolution> ask(Claim claim) {
		CompletableFuture<Resolution> answer = new CompletableFuture<>();
		Optional<Connection> open = this.node.peers().connection(claim.instance()).filter(Connection::isOpen);
		if (open.isPresent()) {
			ask(open.get(), claim, answer);
		}
		else {
			dial(claim, answer);
		}
		return answer.completeOnTimeout(new Resolution.Unknown(), TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void dial(Claim claim, CompletableFuture<Resolution> answer) {
		Optional<Member> member = this.node.membership().member(claim.instance());
		if (member.isEmpty()) {
			answer.complete(new Resolution.Unknown());
			return;
		}
		this.connector.connect(member.get().host(), member.get().port(), new ConnectionListener() {
		}).thenAccept((result) -> {
			if (!(result instanceof ConnectResult.Connected connected)) {
				answer.complete(new Resolution.Unknown());
				return;
			}
			ask(connected.connection(), claim, answer);
			answer.whenComplete((resolution, error) -> connected.connection()
				.close(new Failure("resolve", claim.instance(), "question answered")));
		});
	}

	private void ask(Connection connection, Claim claim, CompletableFuture<Resolution> answer) {
		boolean same = connection.peerHello().getInstance().equals(claim.instance())
				&& connection.peerHello().getIncarnation() == claim.incarnation();
		if (!same) {
			answer.complete(new Resolution.Unknown());
			return;
		}
		Resolve.Builder resolve = Resolve.newBuilder()
			.setAgentIncarnation(claim.incarnation())
			.setIdempotencyKey(claim.key().toString())
			.setService(this.service);
		Reader reader = new Reader(answer);
		Stream stream = connection.open(Frame.newBuilder().setResolve(resolve), reader);
		answer.whenComplete((resolution, error) -> stream.close());
	}

	/**
	 * Reads a resolution and the result that follows it.
	 */
	private static final class Reader implements FrameHandler {

		private final CompletableFuture<Resolution> answer;

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private @Nullable ResponseStart head;

		Reader(CompletableFuture<Resolution> answer) {
			this.answer = answer;
		}

		@Override
		public void onFrame(Stream stream, Frame frame) {
			switch (frame.getBodyCase()) {
				case RESOLUTION -> resolution(frame);
				case RESPONSE_START -> head(frame.getResponseStart());
				case BODY_PART -> {
					this.body.writeBytes(frame.getBodyPart().getData().toByteArray());
					stream.recordConsumed(frame.getBodyPart().getData().size());
				}
				case BODY_END -> ran();
				default -> this.answer.complete(new Resolution.Unknown());
			}
		}

		private void head(ResponseStart start) {
			this.head = start;
		}

		private void resolution(Frame frame) {
			switch (frame.getResolution().getOutcome()) {
				case NOT_RUN -> this.answer.complete(new Resolution.NotRun());
				case RUNNING -> this.answer.complete(new Resolution.Running());
				case RAN -> {
					if (!frame.getResolution().getResultFollows()) {
						this.answer.complete(new Resolution.Ran(new StoredResult(0, List.of(), "", "", null)));
					}
				}
				default -> this.answer.complete(new Resolution.Unknown());
			}
		}

		private void ran() {
			ResponseStart start = this.head;
			if (start == null) {
				this.answer.complete(new Resolution.Unknown());
				return;
			}
			List<Map.Entry<String, String>> headers = new ArrayList<>();
			start.getHeadersList().forEach((header) -> headers.add(Map.entry(header.getName(), header.getValue())));
			this.answer.complete(new Resolution.Ran(new StoredResult(start.getStatus(), headers, start.getVersion(),
					start.getDigest(), this.body.toByteArray())));
		}

		@Override
		public void onConnectionLost(Stream stream, Failure failure) {
			this.answer.complete(new Resolution.Unknown());
		}

	}

}
