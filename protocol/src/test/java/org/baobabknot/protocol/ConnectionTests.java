package org.baobabknot.protocol;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import org.baobabknot.protocol.generated.BodyEnd;
import org.baobabknot.protocol.generated.BodyPart;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.Hello;
import org.baobabknot.protocol.generated.Knowledge;
import org.baobabknot.protocol.generated.Load;
import org.baobabknot.protocol.generated.RequestStart;
import org.baobabknot.protocol.generated.ResponseStart;
import org.baobabknot.protocol.generated.RulesPull;
import org.baobabknot.protocol.generated.RulesValue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Connections over real sockets on the loopback interface.
 */
class ConnectionTests {

	private static final long TIMEOUT_SECONDS = 20;

	private EventLoopGroup group;

	private final ProtocolCounters serverCounters = new ProtocolCounters();

	private final ProtocolCounters clientCounters = new ProtocolCounters();

	private final MockTicker ticker = Ticker.newMockTicker();

	private final EchoServer server = new EchoServer();

	private Acceptor acceptor;

	private InetSocketAddress address;

	@BeforeEach
	void startServer() {
		this.group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
		this.acceptor = new Acceptor(this.group, ConnectionSettings.defaults(), localState("server"), this.server, null,
				this.serverCounters);
		this.address = this.acceptor.bind("127.0.0.1", 0).join();
	}

	@AfterEach
	void stop() {
		this.acceptor.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	private static LocalState localState(String name) {
		return new LocalState() {
			@Override
			public Hello hello() {
				return Hello.newBuilder().setInstance(name).setIncarnation(7).build();
			}

			@Override
			public Knowledge knowledge() {
				return Knowledge.newBuilder().setRulesRevision(3).build();
			}

			@Override
			public Load load() {
				return Load.newBuilder().setLimit(9).build();
			}
		};
	}

	private Connection connect(ConnectionListener listener) throws Exception {
		return connect(listener, this.address.getPort());
	}

	private Connection connect(ConnectionListener listener, int port) throws Exception {
		ConnectionSettings settings = ConnectionSettings.defaults().withTicker(this.ticker);
		ConnectResult result = new Connector(this.group, settings, localState("client"), null, this.clientCounters)
			.connect("127.0.0.1", port, listener)
			.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		assertThat(result, instanceOf(ConnectResult.Connected.class));
		return ((ConnectResult.Connected) result).connection();
	}

	private static <T> T take(BlockingQueue<T> queue) throws InterruptedException {
		T value = queue.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		assertThat("nothing arrived in time", value != null);
		return value;
	}

	/** Echoes bodies and responds to RulesPull. */
	private static final class EchoServer implements ConnectionListener {

		private final BlockingQueue<ConnectionFailure> closeFailures = new LinkedBlockingQueue<>();

		private final AtomicLong receivedBytes = new AtomicLong();

		private volatile boolean echoing = true;

		private volatile String refusal = "";

		@Override
		public Optional<String> refusalReason(Hello hello) {
			return (this.refusal.isEmpty()) ? Optional.empty() : Optional.of(this.refusal);
		}

		@Override
		public FrameHandler onStreamOpened(Stream stream, Frame first) {
			if (first.hasRulesPull()) {
				stream.send(Frame.newBuilder().setRulesValue(RulesValue.newBuilder().setRevision(5)));
				stream.close();
				return null;
			}
			stream.send(Frame.newBuilder().setResponseStart(ResponseStart.newBuilder().setStatus(200)));
			return this::echo;
		}

		private void echo(Stream stream, Frame frame) {
			if (frame.hasBodyPart()) {
				this.receivedBytes.addAndGet(frame.getBodyPart().getData().size());
				if (this.echoing) {
					stream.sendBody(frame.getBodyPart().getData());
					stream.recordConsumed(frame.getBodyPart().getData().size());
				}
			}
			else if (frame.hasBodyEnd()) {
				stream.send(Frame.newBuilder().setBodyEnd(frame.getBodyEnd()));
				stream.close();
			}
		}

		@Override
		public void onClosed(Connection connection, ConnectionFailure failure) {
			this.closeFailures.add(failure);
		}

	}

	/** Exchanges on a healthy connection. */
	@Nested
	class Streams {

		// Guards against dropping the response to a pull when the stream is closed right
		// after it.
		@Test
		void responseSentJustBeforeCloseArrives() throws Exception {
			Connection connection = connect(new ConnectionListener() {
			});
			BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
			connection.open(Frame.newBuilder().setRulesPull(RulesPull.getDefaultInstance()),
					(stream, frame) -> frames.add(frame));
			assertThat(take(frames).getRulesValue().getRevision(), is(5L));
			assertThat(connection.peerHello().getInstance(), is("server"));
		}

		// Guards against stalls and lost bytes when credit runs out in both directions.
		@Test
		void largeBodyIsEchoedWholeWithSmallWindows() throws Exception {
			Connection connection = connect(new ConnectionListener() {
			});
			long size = 8 << 20;
			AtomicLong echoedBytes = new AtomicLong();
			CompletableFuture<Long> end = new CompletableFuture<>();
			RequestStart start = RequestStart.newBuilder().setResponseCredit(1).build();
			Stream stream = connection.open(Frame.newBuilder().setRequestStart(start), (on, frame) -> {
				if (frame.hasBodyPart()) {
					echoedBytes.addAndGet(frame.getBodyPart().getData().size());
					on.recordConsumed(frame.getBodyPart().getData().size());
				}
				else if (frame.hasBodyEnd()) {
					end.complete(frame.getBodyEnd().getLength());
				}
			});
			ByteString part = ByteString.copyFrom(new byte[100_001]);
			for (long sent = 0; sent < size; sent += part.size()) {
				stream.sendBody(part);
			}
			stream.send(Frame.newBuilder().setBodyEnd(BodyEnd.newBuilder().setLength(size)));
			assertThat(end.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(size));
			assertThat(echoedBytes.get(), equalTo(((size + part.size() - 1) / part.size()) * part.size()));
		}

		// Guards against sending without limit to a peer that does not consume.
		@Test
		void senderStopsAtTheCreditOfAPeerThatDoesNotConsume() throws Exception {
			ConnectionTests.this.server.echoing = false;
			Connection connection = connect(new ConnectionListener() {
			});
			Stream stream = connection.open(Frame.newBuilder().setRequestStart(RequestStart.getDefaultInstance()),
					(on, frame) -> {
					});
			stream.sendBody(ByteString.copyFrom(new byte[2 << 20]));
			connection.ping();
			long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
			while (ConnectionTests.this.server.receivedBytes.get() < ConnectionSettings.INITIAL_CREDIT_BYTES
					&& System.nanoTime() < deadlineNanos) {
				Thread.sleep(5);
			}
			Thread.sleep(50);
			assertThat(ConnectionTests.this.server.receivedBytes.get(),
					is((long) ConnectionSettings.INITIAL_CREDIT_BYTES));
			assertThat(stream.isWritable(), is(false));
		}

	}

	/** Peers that are lost, misconfigured or malicious. */
	@Nested
	class Faults {

		// Guards against requests in flight that never end on a silent connection.
		@Test
		void overduePongClosesTheConnectionAndNotifiesItsStreams() throws Exception {
			try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
				Thread peer = new Thread(() -> sendHelloOnly(silent));
				peer.start();
				Connection connection = connect(new ConnectionListener() {
				}, silent.getLocalPort());
				BlockingQueue<ConnectionFailure> lost = new LinkedBlockingQueue<>();
				connection.open(Frame.newBuilder().setRulesPull(RulesPull.getDefaultInstance()), new FrameHandler() {
					@Override
					public void onFrame(Stream stream, Frame frame) {
						// The peer sends nothing on the stream.
					}

					@Override
					public void onConnectionLost(Stream stream, ConnectionFailure failure) {
						lost.add(failure);
					}
				});
				// A single step of more than 1 s would be treated as a pause
				// of this process.
				ConnectionFailure failure = null;
				for (int i = 0; i < 100 && failure == null; i++) {
					ConnectionTests.this.ticker.advance(300, TimeUnit.MILLISECONDS);
					failure = lost.poll(120, TimeUnit.MILLISECONDS);
				}
				assertThat(failure, instanceOf(ConnectionFailure.class));
				assertThat(failure.step(), is("ping"));
				assertThat(connection.isOpen(), is(false));
				peer.join();
			}
		}

		// Guards against closing all connections after a pause of this process.
		@Test
		void pauseOfThisProcessIsNotTakenForALostPeer() {
			PingMonitor monitor = new PingMonitor(ConnectionSettings.defaults(), 0);
			long second = TimeUnit.SECONDS.toNanos(1);
			assertThat(monitor.recordPing(second), is(1L));
			assertThat(monitor.check(true, 30 * second), is(PingMonitor.Action.PING));
			assertThat(monitor.check(true, 31 * second), is(PingMonitor.Action.PING));
			assertThat(monitor.check(true, 32 * second), is(PingMonitor.Action.LOST));
		}

		// Guards against a port scanner or a misconfigured client affecting other
		// connections.
		@Test
		void garbageClosesOnlyItsOwnConnectionAndIsCounted() throws Exception {
			Connection healthyConnection = connect(new ConnectionListener() {
			});
			assertThat(sendRawBytes("GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes()), is(-1));
			assertThat(sendRawBytes(new byte[] { -1, -1, -1, -1, -1, -1 }), is(-1));
			assertThat(sendRawBytes(new byte[] { -1, -1, -1, 127, 0 }), is(-1));
			assertThat(ConnectionTests.this.serverCounters.garbage().sum(), is(3L));
			assertThat(healthyConnection.isOpen(), is(true));
		}

		// Guards against accepting requests from a peer that has not sent Hello.
		@Test
		void firstFrameOtherThanHelloIsAViolation() throws Exception {
			byte[] frame = Frame.newBuilder()
				.setStream(1)
				.setRulesPull(RulesPull.getDefaultInstance())
				.build()
				.toByteArray();
			byte[] bytes = new byte[frame.length + 1];
			bytes[0] = (byte) frame.length;
			System.arraycopy(frame, 0, bytes, 1, frame.length);
			assertThat(sendRawBytes(bytes), is(-1));
			assertThat(ConnectionTests.this.serverCounters.violations().sum(), is(1L));
		}

		// Guards against a connection that occupies memory but never sends Hello.
		@Test
		void silentPeerIsClosedAfterTheHelloTimeout() throws Exception {
			assertThat(sendRawBytes(new byte[0]), is(-1));
		}

		// Guards against use of a connection after its Hello was refused.
		@Test
		void refusedHelloFailsTheConnector() throws Exception {
			ConnectionTests.this.server.refusal = "wrong token";
			ConnectResult result = new Connector(ConnectionTests.this.group, ConnectionSettings.defaults(),
					localState("client"), null, ConnectionTests.this.clientCounters)
				.connect("127.0.0.1", ConnectionTests.this.address.getPort(), new ConnectionListener() {
				})
				.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			assertThat(result, instanceOf(ConnectResult.NotConnected.class));
			assertThat(ConnectionTests.this.serverCounters.refusedHellos().sum(), is(1L));
		}

		// Guards against a peer that ignores flow control and exhausts the memory.
		@Test
		void bodyBeyondTheCreditIsAViolation() throws Exception {
			ConnectionTests.this.server.echoing = false;
			Connection connection = connect(new ConnectionListener() {
			});
			Stream stream = connection.open(Frame.newBuilder().setRequestStart(RequestStart.getDefaultInstance()),
					(on, frame) -> {
					});
			ByteString part = ByteString.copyFrom(new byte[ConnectionSettings.MAX_BODY_PART_BYTES]);
			connection.eventLoop().execute(() -> {
				for (int i = 0; i < 5; i++) {
					connection.write(
							Frame.newBuilder().setStream(stream.id()).setBodyPart(BodyPart.newBuilder().setData(part)));
				}
			});
			assertThat(take(ConnectionTests.this.server.closeFailures).detail(), containsString("more body bytes"));
			assertThat(ConnectionTests.this.serverCounters.violations().sum(), lessThanOrEqualTo(1L));
		}

		private void sendHelloOnly(ServerSocket server) {
			try (Socket socket = server.accept()) {
				Hello hello = Hello.newBuilder()
					.setInstance("silent")
					.setProtocolVersion(Connection.PROTOCOL_VERSION)
					.build();
				Frame.newBuilder().setHello(hello).build().writeDelimitedTo(socket.getOutputStream());
				socket.getInputStream().transferTo(OutputStream.nullOutputStream());
			}
			catch (IOException ex) {
				// The client closed the connection.
			}
		}

		private int sendRawBytes(byte[] bytes) throws Exception {
			try (Socket socket = new Socket("127.0.0.1", ConnectionTests.this.address.getPort())) {
				socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
				socket.getOutputStream().write(bytes);
				InputStream in = socket.getInputStream();
				return in.read();
			}
		}

	}

}
