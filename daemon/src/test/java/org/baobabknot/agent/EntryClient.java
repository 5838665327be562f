package org.baobabknot.agent;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import org.baobabknot.daemon.Daemon;
import org.baobabknot.protocol.ConnectResult;
import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.ConnectionFailure;
import org.baobabknot.protocol.ConnectionListener;
import org.baobabknot.protocol.ConnectionSettings;
import org.baobabknot.protocol.Connector;
import org.baobabknot.protocol.FrameHandler;
import org.baobabknot.protocol.LocalState;
import org.baobabknot.protocol.ProtocolCounters;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.BodyEnd;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.Hello;
import org.baobabknot.protocol.generated.Knowledge;
import org.baobabknot.protocol.generated.RequestStart;
import org.baobabknot.protocol.generated.Resolve;
import org.baobabknot.protocol.generated.Role;
import org.baobabknot.record.Hash128;

/**
 * Sends requests to an agent over the protocol that entries use.
 */
final class EntryClient implements AutoCloseable {

	private static final AtomicLong IDS = new AtomicLong();

	private final Connection connection;

	private EntryClient(Connection connection) {
		this.connection = connection;
	}

	static EntryClient connect(EventLoopGroup group, Daemon agent) {
		Connector connector = new Connector(group, ConnectionSettings.defaults(), new EntryState(), null,
				new ProtocolCounters());
		ConnectResult result = connector.connect("127.0.0.1", agent.address().getPort(), new ConnectionListener() {
		}).join();
		return new EntryClient(((ConnectResult.Connected) result).connection());
	}

	static ByteString newId() {
		return ByteString.copyFrom(new Hash128(77, IDS.incrementAndGet()).toBytes());
	}

	static RequestStart.Builder order(String key) {
		return request("POST", "/orders", "shop").setIdempotent(false)
			.setIdempotencyKey(key)
			.setFingerprint(ByteString.copyFromUtf8("fingerprint-of-" + (key.isEmpty() ? "none-----" : "the-order")));
	}

	static RequestStart.Builder request(String method, String path, String workspace) {
		return RequestStart.newBuilder()
			.setRequestId(newId())
			.setService(AgentFixture.SERVICE)
			.setWorkspace(workspace)
			.setMethod(method)
			.setPath(path)
			.setIdempotent(true)
			.setTimeoutMs(10_000);
	}

	static RequestStart.Builder completion() {
		return request("POST", "/v1/completions", "shop");
	}

	CompletableFuture<Response> send(RequestStart.Builder start, String body) {
		return send(start, ByteString.copyFromUtf8(body));
	}

	CompletableFuture<Response> send(RequestStart.Builder start, ByteString body) {
		ResponseReader reader = new ResponseReader();
		Stream stream = this.connection.open(Frame.newBuilder().setRequestStart(start), reader);
		stream.sendBody(body);
		stream.send(Frame.newBuilder().setBodyEnd(BodyEnd.newBuilder().setLength(body.size())));
		reader.response.whenComplete((response, error) -> stream.close());
		return reader.response;
	}

	CompletableFuture<Response> resolve(ByteString id, long incarnation) {
		ResponseReader reader = new ResponseReader();
		this.connection.open(
				Frame.newBuilder().setResolve(Resolve.newBuilder().setRequestId(id).setAgentIncarnation(incarnation)),
				reader);
		return reader.response;
	}

	Connection connection() {
		return this.connection;
	}

	@Override
	public void close() {
		this.connection.close(new ConnectionFailure("test", "agent", "test ended"));
	}

	/**
	 * Result of a request or of a resolution.
	 *
	 * @param kind {@code whole}, {@code broken} (wrong body length), {@code lost},
	 * {@code failed}, {@code unknown}, the reason of the refusal or the outcome of the
	 * resolution
	 * @param status HTTP status, 0 without a response
	 * @param body body of the response
	 */
	record Response(String kind, int status, String body) {

	}

	private static final class ResponseReader implements FrameHandler {

		private final CompletableFuture<Response> response = new CompletableFuture<>();

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private int status;

		@Override
		public void onFrame(Stream stream, Frame frame) {
			switch (frame.getBodyCase()) {
				case RESPONSE_START -> started(frame.getResponseStart().getStatus());
				case BODY_PART -> {
					this.body.writeBytes(frame.getBodyPart().getData().toByteArray());
					stream.recordConsumed(frame.getBodyPart().getData().size());
				}
				case BODY_END -> end((frame.getBodyEnd().getLength() == this.body.size()) ? "whole" : "broken");
				case REFUSED -> end(frame.getRefused().getReason().name());
				case FAILED -> end(frame.getFailed().getUnknown() ? "unknown" : "failed");
				case RESOLUTION -> {
					if (!frame.getResolution().getResultFollows()) {
						end(frame.getResolution().getOutcome().name());
					}
				}
				default -> end("unexpected " + frame.getBodyCase());
			}
		}

		private void started(int responseStatus) {
			this.status = responseStatus;
		}

		private void end(String kind) {
			this.response.complete(new Response(kind, this.status, this.body.toString(StandardCharsets.UTF_8)));
		}

		@Override
		public void onConnectionLost(Stream stream, ConnectionFailure failure) {
			end("lost");
		}

	}

	private static final class EntryState implements LocalState {

		@Override
		public Hello hello() {
			return Hello.newBuilder().setInstance("entry-1").setIncarnation(1).setRole(Role.ENTRY).build();
		}

		@Override
		public Knowledge knowledge() {
			return Knowledge.getDefaultInstance();
		}

	}

}
