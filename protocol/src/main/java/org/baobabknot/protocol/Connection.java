package org.baobabknot.protocol;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.Hello;
import org.baobabknot.protocol.generated.Knowledge;
import org.baobabknot.protocol.generated.Load;
import org.baobabknot.protocol.generated.Ping;
import org.baobabknot.protocol.generated.Pong;
import org.jspecify.annotations.Nullable;

/**
 * One socket to a peer, with any number of streams. Created by {@link Connector} and
 * {@link Acceptor}; usable after {@link ConnectionListener#onOpened}. Public methods may
 * be called on any thread.
 */
public final class Connection {

	/** Version of the protocol, checked in Hello. */
	public static final int PROTOCOL_VERSION = 1;

	// Bounds the delay with which PingMonitor detects a due ping or a missing pong.
	private static final long PING_CHECK_INTERVAL_MS = 100;

	private final Channel channel;

	private final ConnectionSettings settings;

	private final LocalState localState;

	private final ProtocolCounters counters;

	private final ConnectionListener listener;

	private final boolean initiator;

	private final Map<Long, Stream> streams = new HashMap<>();

	private final CompletableFuture<ConnectionFailure> closeFuture = new CompletableFuture<>();

	private final long startNanos;

	private long lastLocalStreamId;

	private long lastPeerStreamId;

	private int openPeerStreams;

	private @Nullable PingMonitor pingMonitor;

	private @Nullable ScheduledFuture<?> pingCheckTimer;

	private volatile @Nullable Hello peerHello;

	private final LoadExchange loadExchange = new LoadExchange();

	private volatile int openStreams;

	Connection(Channel channel, ConnectionSettings settings, LocalState localState, ProtocolCounters counters,
			ConnectionListener listener, boolean initiator) {
		this.channel = channel;
		this.settings = settings;
		this.localState = localState;
		this.counters = counters;
		this.listener = listener;
		this.initiator = initiator;
		this.lastLocalStreamId = (initiator) ? -1 : 0;
		this.startNanos = settings.ticker().nanoTime();
	}

	/**
	 * The peer's Hello.
	 * @return identity of the peer
	 */
	public Hello peerHello() {
		Hello hello = this.peerHello;
		if (hello == null) {
			throw new IllegalStateException("no Hello was received yet");
		}
		return hello;
	}

	/**
	 * Name of the peer for messages.
	 * @return instance name, or the address before Hello
	 */
	public String peerName() {
		Hello hello = this.peerHello;
		return (hello != null) ? hello.getInstance() : String.valueOf(this.channel.remoteAddress());
	}

	/**
	 * Event loop on which the listener and the handlers are called.
	 * @return the loop of the socket
	 */
	public EventLoop eventLoop() {
		return this.channel.eventLoop();
	}

	/**
	 * Load in the last Pong, ResponseStart or Refused of the peer.
	 * @return load, {@code null} before the first or if the peer is no agent
	 */
	public @Nullable Load peerLoad() {
		return this.loadExchange.latest();
	}

	/**
	 * Round-trip time of the last ping that received its pong.
	 * @return nanoseconds, 0 before the first
	 */
	public long roundTripNanos() {
		PingMonitor monitor = this.pingMonitor;
		return (monitor != null) ? monitor.roundTripNanos() : 0;
	}

	/**
	 * Whether the socket's write buffer is below its high-water mark.
	 * @return false when the sender should pause
	 */
	public boolean isWritable() {
		return this.channel.isWritable();
	}

	/**
	 * Whether the connection is open.
	 * @return false once it is closed
	 */
	public boolean isOpen() {
		return this.channel.isActive();
	}

	/**
	 * Number of open streams of both sides.
	 * @return number of streams
	 */
	public int openStreams() {
		return this.openStreams;
	}

	/**
	 * Opens a stream. If the connection is closed, {@link FrameHandler#onConnectionLost}
	 * is called and the stream keeps the number 0.
	 * @param first first frame of the stream
	 * @param handler receives the peer's frames
	 * @return the stream
	 */
	public Stream open(Frame.Builder first, FrameHandler handler) {
		int windowBytes = windowBytes(first.hasRequestStart() ? first.getRequestStart().getResponseCredit() : 0);
		Stream stream = new Stream(this, windowBytes, this.settings.initialCreditBytes());
		if (eventLoop().inEventLoop()) {
			openInLoop(stream, first, handler);
		}
		else {
			eventLoop().execute(() -> openInLoop(stream, first, handler));
		}
		return stream;
	}

	/**
	 * Sends a frame on stream 0.
	 * @param frame the frame; its stream number and clock are filled in
	 */
	public void send(Frame.Builder frame) {
		if (eventLoop().inEventLoop()) {
			write(frame.setStream(0));
		}
		else {
			eventLoop().execute(() -> write(frame.setStream(0)));
		}
	}

	/**
	 * Sends a ping now, with the current {@link LocalState#knowledge}.
	 */
	public void ping() {
		if (eventLoop().inEventLoop()) {
			pingInLoop();
		}
		else {
			eventLoop().execute(this::pingInLoop);
		}
	}

	/**
	 * Closes the connection and fails its open streams.
	 * @param failure passed to the handlers and the listener
	 */
	public void close(ConnectionFailure failure) {
		if (eventLoop().inEventLoop()) {
			closeInLoop(failure);
		}
		else if (!eventLoop().isShuttingDown()) {
			eventLoop().execute(() -> closeInLoop(failure));
		}
	}

	/**
	 * Completed when the connection is closed.
	 * @return step and cause
	 */
	public CompletionStage<ConnectionFailure> whenClosed() {
		return this.closeFuture;
	}

	boolean established() {
		return this.peerHello != null;
	}

	ProtocolCounters counters() {
		return this.counters;
	}

	ConnectionFailure failure(String step, String detail) {
		return new ConnectionFailure(step, peerName(), detail);
	}

	void sendHello() {
		Hello hello = this.localState.hello()
			.toBuilder()
			.setKnowledge(this.localState.knowledge())
			.setProtocolVersion(PROTOCOL_VERSION)
			.build();
		write(Frame.newBuilder().setHello(hello));
	}

	void established(Hello hello) {
		this.peerHello = hello;
		this.pingMonitor = new PingMonitor(this.settings, nowNanos());
		this.pingCheckTimer = eventLoop().scheduleWithFixedDelay(this::checkPings, PING_CHECK_INTERVAL_MS,
				PING_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
		this.listener.onOpened(this);
		this.listener.onKnowledge(this, hello.getKnowledge());
	}

	void receive(Frame frame) {
		this.counters.framesReceived().increment();
		if (frame.getClock() != 0) {
			this.localState.observeClock(frame.getClock());
		}
		PingMonitor monitor = this.pingMonitor;
		if (monitor != null) {
			monitor.recordReceived(nowNanos());
		}
		if (frame.getStream() == 0) {
			receiveConnectionFrame(frame);
			return;
		}
		this.loadExchange.recordLoad(frame);
		Stream stream = this.streams.get(frame.getStream());
		if (stream == null) {
			receiveOnUnknownStream(frame);
		}
		else if (!stream.tryReceive(frame)) {
			closeOnViolation("more body bytes than granted on stream " + frame.getStream());
		}
	}

	void write(Frame.Builder frame) {
		if (!this.channel.isActive()) {
			return;
		}
		this.counters.framesSent().increment();
		this.channel.writeAndFlush(frame.setClock(this.localState.clock()).build(), this.channel.voidPromise());
	}

	void writabilityChanged() {
		if (this.channel.isWritable()) {
			new ArrayList<>(this.streams.values()).forEach(Stream::onSocketWritable);
		}
	}

	void removeStream(Stream stream) {
		if (this.streams.remove(stream.id(), stream)) {
			if (!isLocalStream(stream.id())) {
				this.openPeerStreams--;
			}
			this.openStreams = this.streams.size();
		}
	}

	void closeOnViolation(String detail) {
		this.counters.violations().increment();
		closeInLoop(failure("protocol", detail));
	}

	void closeInLoop(ConnectionFailure failure) {
		if (this.closeFuture.isDone()) {
			return;
		}
		ScheduledFuture<?> timer = this.pingCheckTimer;
		if (timer != null) {
			timer.cancel(false);
		}
		this.closeFuture.complete(failure);
		this.channel.close();
		ArrayList<Stream> lost = new ArrayList<>(this.streams.values());
		this.streams.clear();
		this.openStreams = 0;
		lost.forEach((stream) -> stream.connectionLost(failure));
		if (established()) {
			this.listener.onClosed(this, failure);
		}
	}

	private void openInLoop(Stream stream, Frame.Builder first, FrameHandler handler) {
		if (this.closeFuture.isDone()) {
			stream.initialize(0, handler);
			stream.connectionLost(this.closeFuture.join());
			return;
		}
		this.lastLocalStreamId += 2;
		stream.initialize(this.lastLocalStreamId, handler);
		this.streams.put(stream.id(), stream);
		this.openStreams = this.streams.size();
		write(first.setStream(stream.id()));
	}

	private void receiveConnectionFrame(Frame frame) {
		if (frame.hasPing()) {
			sendPong(frame.getPing());
		}
		else if (frame.hasPong()) {
			PingMonitor monitor = this.pingMonitor;
			if (monitor != null) {
				monitor.recordPong(frame.getPong().getSequence(), nowNanos());
			}
			Load reported = null;
			if (frame.getPong().hasLoad()) {
				reported = this.loadExchange.decode(frame.getPong().getLoad());
			}
			this.listener.onPong(this, reported);
			this.listener.onKnowledge(this, frame.getPong().getKnowledge());
		}
		else if (frame.hasHello() || frame.getBodyCase() == Frame.BodyCase.BODY_NOT_SET) {
			closeOnViolation("unexpected " + frame.getBodyCase() + " on stream 0");
		}
		else {
			this.listener.onFrame(this, frame);
		}
	}

	private void receiveOnUnknownStream(Frame frame) {
		long id = frame.getStream();
		if (isLocalStream(id)) {
			if (id > this.lastLocalStreamId) {
				closeOnViolation("frame on stream " + id + ", which was never opened");
			}
			else {
				this.counters.lateFrames().increment();
			}
		}
		else if (id <= this.lastPeerStreamId) {
			this.counters.lateFrames().increment();
		}
		else if (this.openPeerStreams >= this.settings.maxStreams()) {
			closeOnViolation("more than " + this.settings.maxStreams() + " streams");
		}
		else {
			accept(frame);
		}
	}

	private void accept(Frame first) {
		long id = first.getStream();
		this.lastPeerStreamId = id;
		long sendCreditBytes = windowBytes(first.hasRequestStart() ? first.getRequestStart().getResponseCredit() : 0);
		Stream stream = new Stream(this, this.settings.initialCreditBytes(), sendCreditBytes);
		stream.initialize(id, null);
		this.streams.put(id, stream);
		this.openPeerStreams++;
		this.openStreams = this.streams.size();
		FrameHandler handler = this.listener.onStreamOpened(stream, first);
		if (handler == null) {
			stream.close();
		}
		else {
			stream.initialize(id, handler);
		}
	}

	private void sendPong(Ping ping) {
		Knowledge knowledge = this.localState.knowledge();
		Pong.Builder pong = Pong.newBuilder().setSequence(ping.getSequence()).setKnowledge(knowledge);
		Load localLoad = this.localState.load();
		if (localLoad != null) {
			pong.setLoad(this.loadExchange.encode(localLoad));
		}
		write(Frame.newBuilder().setPong(pong));
		this.listener.onKnowledge(this, ping.getKnowledge());
	}

	private void checkPings() {
		PingMonitor monitor = this.pingMonitor;
		if (monitor == null || this.closeFuture.isDone()) {
			return;
		}
		PingMonitor.Action action = monitor.check(!this.streams.isEmpty(), nowNanos());
		if (action == PingMonitor.Action.LOST) {
			this.counters.pongTimeouts().increment();
			closeInLoop(failure("ping", "no pong within " + this.settings.pongTimeout().toMillis() + " ms"));
		}
		else if (action == PingMonitor.Action.PING) {
			pingInLoop();
		}
	}

	private void pingInLoop() {
		PingMonitor monitor = this.pingMonitor;
		if (monitor != null) {
			Ping.Builder ping = Ping.newBuilder().setSequence(monitor.recordPing(nowNanos()));
			write(Frame.newBuilder().setPing(ping.setKnowledge(this.localState.knowledge())));
		}
	}

	private boolean isLocalStream(long id) {
		return (id % 2 == 1) == this.initiator;
	}

	// A window below one body part would cost a round trip per part.
	private int windowBytes(int requestedBytes) {
		return (requestedBytes == 0) ? this.settings.initialCreditBytes()
				: Math.max(requestedBytes, ConnectionSettings.MAX_BODY_PART_BYTES);
	}

	private long nowNanos() {
		return this.settings.ticker().nanoTime();
	}

	boolean isHelloOverdue() {
		return !established() && nowNanos() - this.startNanos > this.settings.helloTimeout().toNanos();
	}

	ConnectionListener listener() {
		return this.listener;
	}

}
