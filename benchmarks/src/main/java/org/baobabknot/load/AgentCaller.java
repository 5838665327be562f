package org.baobabknot.load;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
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
import org.baobabknot.protocol.generated.Header;
import org.baobabknot.protocol.generated.Hello;
import org.baobabknot.protocol.generated.Knowledge;
import org.baobabknot.protocol.generated.RequestStart;
import org.baobabknot.protocol.generated.Role;

/**
 * Sends requests to an agent over the process protocol, as an entry does. This separates
 * the latency added by an agent from that added by an entry.
 */
public final class AgentCaller implements RequestSender, AutoCloseable {

	private static final int TIMEOUT_MS = 20_000;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final Random random = new Random();

	private final Connection connection;

	/**
	 * Connects to an agent without TLS.
	 * @param host host of the agent
	 * @param port its process port
	 */
	public AgentCaller(String host, int port) {
		Connector connector = new Connector(this.group, ConnectionSettings.defaults(), new EntryState(), null,
				new ProtocolCounters());
		ConnectResult result = connector.connect(host, port, new ConnectionListener() {
		}).join();
		if (!(result instanceof ConnectResult.Connected connected)) {
			throw new IllegalStateException(result.toString());
		}
		this.connection = connected.connection();
	}

	@Override
	public CompletableFuture<LoadResponse> send(LoadRequest request) {
		int serviceEnd = request.path().indexOf('/', 1);
		byte[] id = new byte[16];
		this.random.nextBytes(id);
		RequestStart.Builder requestStart = RequestStart.newBuilder()
			.setRequestId(ByteString.copyFrom(id))
			.setService(request.path().substring(1, serviceEnd))
			.setPath(request.path().substring(serviceEnd))
			.setMethod(request.method())
			.setWorkspace(request.headers().getOrDefault("X-Workspace", ""))
			.setTimeoutMs(TIMEOUT_MS)
			.setIdempotent(true)
			.setResponseCredit(ConnectionSettings.INITIAL_CREDIT_BYTES);
		request.headers()
			.forEach((name, value) -> requestStart.addHeaders(Header.newBuilder().setName(name).setValue(value)));
		ResponseCollector collector = new ResponseCollector();
		Stream stream = this.connection.open(Frame.newBuilder().setRequestStart(requestStart), collector);
		stream.sendBody(ByteString.copyFrom(request.body()));
		stream.send(Frame.newBuilder().setBodyEnd(BodyEnd.newBuilder().setLength(request.body().length)));
		return collector.response;
	}

	@Override
	public void close() {
		this.connection.close(new ConnectionFailure("close", "load generator", "done"));
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	/**
	 * Collects the frames of one response.
	 */
	private static final class ResponseCollector implements FrameHandler {

		private final CompletableFuture<LoadResponse> response = new CompletableFuture<>();

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private final DefaultHttpHeaders headers = new DefaultHttpHeaders();

		private final List<Long> bodyPartNanos = new ArrayList<>();

		private int status;

		@Override
		public void onFrame(Stream stream, Frame frame) {
			if (frame.hasResponseStart()) {
				this.status = frame.getResponseStart().getStatus();
				frame.getResponseStart()
					.getHeadersList()
					.forEach((header) -> this.headers.add(header.getName(), header.getValue()));
				this.headers.set("X-Model-Version", frame.getResponseStart().getVersion());
			}
			else if (frame.hasBodyPart()) {
				ByteString data = frame.getBodyPart().getData();
				this.bodyPartNanos.add(System.nanoTime());
				this.body.writeBytes(data.toByteArray());
				stream.recordConsumed(data.size());
			}
			else if (frame.hasBodyEnd()) {
				end(stream, true, "");
			}
			else {
				end(stream, false, frame.getBodyCase() + " " + frame.getRefused().getReason());
			}
		}

		@Override
		public void onConnectionLost(Stream stream, ConnectionFailure failure) {
			end(stream, false, failure.toString());
		}

		private void end(Stream stream, boolean complete, String failure) {
			stream.close();
			this.response.complete(new LoadResponse(this.status, this.headers, this.body.toByteArray(), complete, true,
					this.bodyPartNanos.isEmpty() ? 0 : this.bodyPartNanos.get(0), System.nanoTime(),
					this.bodyPartNanos.size(), complete ? null : failure));
		}

	}

	/**
	 * Identifies the load generator to the agent as an entry.
	 */
	private static final class EntryState implements LocalState {

		@Override
		public Hello hello() {
			return Hello.newBuilder()
				.setInstance("load-generator")
				.setIncarnation(System.currentTimeMillis())
				.setRole(Role.ENTRY)
				.build();
		}

		@Override
		public Knowledge knowledge() {
			return Knowledge.getDefaultInstance();
		}

	}

}
