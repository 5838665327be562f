package org.baobabknot.entry;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiFunction;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import org.baobabknot.protocol.Acceptor;
import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.ConnectionFailure;
import org.baobabknot.protocol.ConnectionListener;
import org.baobabknot.protocol.ConnectionSettings;
import org.baobabknot.protocol.FrameHandler;
import org.baobabknot.protocol.LocalState;
import org.baobabknot.protocol.ProtocolCounters;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.Admission;
import org.baobabknot.protocol.generated.BodyEnd;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.Hello;
import org.baobabknot.protocol.generated.Knowledge;
import org.baobabknot.protocol.generated.Load;
import org.baobabknot.protocol.generated.Outcome;
import org.baobabknot.protocol.generated.RefusalReason;
import org.baobabknot.protocol.generated.Refused;
import org.baobabknot.protocol.generated.Resolution;
import org.baobabknot.protocol.generated.ResponseStart;
import org.baobabknot.protocol.generated.Role;

/**
 * Agent whose responses are scripted by a test.
 */
final class FakeAgent implements ConnectionListener {

	final String name;

	final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();

	final List<Connection> connections = new CopyOnWriteArrayList<>();

	final AtomicLong receivedBodyBytes = new AtomicLong();

	volatile BiFunction<Stream, Frame, FrameHandler> script = FakeAgent::echo;

	volatile boolean grantsCredit = true;

	final Acceptor acceptor;

	final int port;

	FakeAgent(EventLoopGroup group, String name) {
		this.name = name;
		this.acceptor = new Acceptor(group, ConnectionSettings.defaults(), new AgentState(name), this, null,
				new ProtocolCounters());
		this.port = this.acceptor.bind("127.0.0.1", 0).join().getPort();
	}

	@Override
	public void onOpened(Connection connection) {
		this.connections.add(connection);
	}

	@Override
	public void onClosed(Connection connection, ConnectionFailure failure) {
		this.connections.remove(connection);
	}

	@Override
	public FrameHandler onStreamOpened(Stream stream, Frame first) {
		this.frames.add(first);
		FrameHandler handler = this.script.apply(stream, first);
		return (on, frame) -> {
			this.frames.add(frame);
			if (frame.hasBodyPart()) {
				this.receivedBodyBytes.addAndGet(frame.getBodyPart().getData().size());
				if (this.grantsCredit) {
					on.recordConsumed(frame.getBodyPart().getData().size());
				}
			}
			handler.onFrame(on, frame);
		};
	}

	/**
	 * Responds with the request body.
	 * @param stream the stream
	 * @param firstFrame first frame of the stream
	 * @return the handler of the body
	 */
	static FrameHandler echo(Stream stream, Frame firstFrame) {
		sendHead(stream, 200);
		AtomicLong length = new AtomicLong();
		return (on, frame) -> {
			if (frame.hasBodyPart()) {
				length.addAndGet(frame.getBodyPart().getData().size());
				on.sendBody(frame.getBodyPart().getData());
			}
			else if (frame.hasBodyEnd()) {
				sendEnd(on, length.get());
			}
		};
	}

	static FrameHandler ignore(Stream stream, Frame firstFrame) {
		return (on, frame) -> {
		};
	}

	static void sendHead(Stream stream, int status) {
		stream.send(Frame.newBuilder()
			.setResponseStart(ResponseStart.newBuilder().setStatus(status).setVersion("v1").setLoad(load())));
	}

	static void sendResponse(Stream stream, String text) {
		sendHead(stream, 200);
		stream.sendBody(ByteString.copyFromUtf8(text));
		sendEnd(stream, text.length());
	}

	static void sendEnd(Stream stream, long length) {
		stream.send(Frame.newBuilder().setBodyEnd(BodyEnd.newBuilder().setLength(length)));
		stream.close();
	}

	static FrameHandler refuse(Stream stream, RefusalReason reason) {
		stream.send(Frame.newBuilder().setRefused(Refused.newBuilder().setReason(reason).setRetryAfterMs(1500)));
		stream.close();
		return ignore(stream, Frame.getDefaultInstance());
	}

	static FrameHandler resolve(Stream stream, Outcome outcome) {
		boolean ran = outcome == Outcome.RAN;
		stream
			.send(Frame.newBuilder().setResolution(Resolution.newBuilder().setOutcome(outcome).setResultFollows(ran)));
		if (ran) {
			sendResponse(stream, "recorded");
		}
		stream.close();
		return ignore(stream, Frame.getDefaultInstance());
	}

	static FrameHandler closeConnection(Stream stream) {
		stream.connection().close(new ConnectionFailure("test", "entry", "dropped"));
		return ignore(stream, Frame.getDefaultInstance());
	}

	private static Load load() {
		return Load.newBuilder().setLimit(100).setAdmission(Admission.OPEN).setService("s").build();
	}

	/**
	 * State that the agent reports to its peers.
	 *
	 * @param name instance name
	 */
	private record AgentState(String name) implements LocalState {

		@Override
		public Hello hello() {
			return Hello.newBuilder()
				.setInstance(this.name)
				.setIncarnation(42)
				.setFailureDomain("d")
				.setRegion("r")
				.setRole(Role.AGENT)
				.build();
		}

		@Override
		public Knowledge knowledge() {
			return Knowledge.getDefaultInstance();
		}

		@Override
		public Load load() {
			return FakeAgent.load();
		}

	}

}
