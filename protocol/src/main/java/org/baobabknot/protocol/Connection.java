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
 * {@link Acceptor}; usable after {@link ConnectionListener#opened}. Public methods may be
 * called on any thread.
 */
public final class Connection {

	/** Version of the protocol, checked in Hello. */
	public static final int PROTOCOL_VERSION = 1;

	// The monitor compares times itself; the interval only bounds how late it notices.
	private static final long CHECK_INTERVAL_MS = 100;

	private final Channel channel;

	private final ConnectionSettings settings;

	private final LocalState local;

	private final ProtocolCounters counters;

	private final ConnectionListener listener;

	private final boolean connecting;

	private final Map<Long, Stream> streams = new HashMap<>();

	private final CompletableFuture<Failure> closed = new CompletableFuture<>();

	private final long startNanos;

	private long lastOwnStream;

	private long lastPeerStream;

	private int peerStreams;

	private @Nullable PingMonitor pings;

	private @Nullable ScheduledFuture<?> checks;

	private volatile @Nullable Hello peer;

	private final LoadExchange loads = new LoadExchange();

	private volatile int openStreams;

	Connection(Channel channel, ConnectionSettings settings, LocalState local, ProtocolCounters counters,
			ConnectionListener listener, boolean connecting) {
		this.channel = channel;
		this.settings = settings;
		this.local = local;
		this.counters = counters;
		this.listener = listener;
		this.connecting = connecting;
		this.lastOwnStream = (connecting) ? -1 : 0;
		this.startNanos = settings.ticker().nanoTime();
	}

	/**
	 * The peer's Hello.
	 * @return identity of the peer
	 */
	public Hello peer() {
		Hello hello = this.peer;
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
		Hello hello = this.peer;
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
	public @Nullable Load load() {
		return this.loads.latest();
	}

	/**
	 * Round-trip time of the last answered ping.
	 * @return nanoseconds, 0 before the first
	 */
	public long roundTripNanos() {
		PingMonitor monitor = this.pings;
		return (monitor != null) ? monitor.roundTripNanos() : 0;
	}

	/**
	 * Whether the socket's queue is below its high-water mark.
	 * @return false when frames should wait
	 */
	public boolean writable() {
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
	 * Opens a stream. If the connection is closed, the handler is told by
	 * {@link FrameHandler#lost}.
	 * @param first first frame of the stream
	 * @param handler receives the peer's frames
	 * @return the stream
	 */
	public Stream open(Frame.Builder first, FrameHandler handler) {
		int window = window(first.hasRequestStart() ? first.getRequestStart().getResponseCredit() : 0);
		Stream stream = new Stream(this, window, this.settings.initialCredit());
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
	 * Sends a ping now, which tells the peer the current knowledge.
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
	 * Closes the connection; open streams are lost.
	 * @param failure told to the handlers and the listener
	 */
	public void close(Failure failure) {
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
	public CompletionStage<Failure> onClose() {
		return this.closed;
	}

	boolean established() {
		return this.peer != null;
	}

	ProtocolCounters counters() {
		return this.counters;
	}

	Failure failure(String step, String detail) {
		return new Failure(step, peerName(), detail);
	}

	void sendHello() {
		Hello hello = this.local.hello()
			.toBuilder()
			.setKnowledge(this.local.knowledge())
			.setProtocolVersion(PROTOCOL_VERSION)
			.build();
		write(Frame.newBuilder().setHello(hello));
	}

	void established(Hello hello) {
		this.peer = hello;
		this.pings = new PingMonitor(this.settings, now());
		this.checks = eventLoop().scheduleWithFixedDelay(this::check, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS,
				TimeUnit.MILLISECONDS);
		this.listener.opened(this);
		this.listener.knowledge(this, hello.getKnowledge());
	}

	void receive(Frame frame) {
		this.counters.framesIn().increment();
		if (frame.getClock() != 0) {
			this.local.observeClock(frame.getClock());
		}
		PingMonitor monitor = this.pings;
		if (monitor != null) {
			monitor.received(now());
		}
		if (frame.getStream() == 0) {
			receiveOnConnection(frame);
			return;
		}
		this.loads.note(frame);
		Stream stream = this.streams.get(frame.getStream());
		if (stream == null) {
			receiveUnknown(frame);
		}
		else if (!stream.tryReceive(frame)) {
			violation("more body bytes than granted on stream " + frame.getStream());
		}
	}

	void write(Frame.Builder frame) {
		if (!this.channel.isActive()) {
			return;
		}
		this.counters.framesOut().increment();
		this.channel.writeAndFlush(frame.setClock(this.local.clock()).build(), this.channel.voidPromise());
	}

	void writabilityChanged() {
		if (this.channel.isWritable()) {
			new ArrayList<>(this.streams.values()).forEach(Stream::socketWritable);
		}
	}

	void forget(Stream stream) {
		if (this.streams.remove(stream.id(), stream)) {
			if (!own(stream.id())) {
				this.peerStreams--;
			}
			this.openStreams = this.streams.size();
		}
	}

	void violation(String detail) {
		this.counters.violations().increment();
		closeInLoop(failure("protocol", detail));
	}

	void closeInLoop(Failure failure) {
		if (this.closed.isDone()) {
			return;
		}
		ScheduledFuture<?> timer = this.checks;
		if (timer != null) {
			timer.cancel(false);
		}
		this.closed.complete(failure);
		this.channel.close();
		ArrayList<Stream> lost = new ArrayList<>(this.streams.values());
		this.streams.clear();
		this.openStreams = 0;
		lost.forEach((stream) -> stream.lost(failure));
		if (established()) {
			this.listener.closed(this, failure);
		}
	}

	private void openInLoop(Stream stream, Frame.Builder first, FrameHandler handler) {
		this.lastOwnStream += 2;
		stream.opened(this.lastOwnStream, handler);
		if (this.closed.isDone()) {
			stream.lost(this.closed.join());
			return;
		}
		this.streams.put(stream.id(), stream);
		this.openStreams = this.streams.size();
		write(first.setStream(stream.id()));
	}

	private void receiveOnConnection(Frame frame) {
		if (frame.hasPing()) {
			answer(frame.getPing());
		}
		else if (frame.hasPong()) {
			PingMonitor monitor = this.pings;
			if (monitor != null) {
				monitor.pong(frame.getPong().getSequence(), now());
			}
			Load reported = null;
			if (frame.getPong().hasLoad()) {
				reported = this.loads.received(frame.getPong().getLoad());
			}
			this.listener.pong(this, reported);
			this.listener.knowledge(this, frame.getPong().getKnowledge());
		}
		else if (frame.hasHello() || frame.getBodyCase() == Frame.BodyCase.BODY_NOT_SET) {
			violation("unexpected " + frame.getBodyCase() + " on stream 0");
		}
		else {
			this.listener.received(this, frame);
		}
	}

	private void receiveUnknown(Frame frame) {
		long id = frame.getStream();
		if (own(id)) {
			if (id > this.lastOwnStream) {
				violation("frame on stream " + id + ", which was never opened");
			}
			else {
				this.counters.lateFrames().increment();
			}
		}
		else if (id <= this.lastPeerStream) {
			this.counters.lateFrames().increment();
		}
		else if (this.peerStreams >= this.settings.maxStreams()) {
			violation("more than " + this.settings.maxStreams() + " streams");
		}
		else {
			accept(frame);
		}
	}

	private void accept(Frame first) {
		long id = first.getStream();
		this.lastPeerStream = id;
		long credit = window(first.hasRequestStart() ? first.getRequestStart().getResponseCredit() : 0);
		Stream stream = new Stream(this, this.settings.initialCredit(), credit);
		stream.opened(id, null);
		this.streams.put(id, stream);
		this.peerStreams++;
		this.openStreams = this.streams.size();
		FrameHandler handler = this.listener.streamOpened(stream, first);
		if (handler == null) {
			stream.close();
		}
		else {
			stream.opened(id, handler);
		}
	}

	private void answer(Ping ping) {
		Knowledge knowledge = this.local.knowledge();
		Pong.Builder pong = Pong.newBuilder().setSequence(ping.getSequence()).setKnowledge(knowledge);
		Load own = this.local.load();
		if (own != null) {
			pong.setLoad(this.loads.forPong(own));
		}
		write(Frame.newBuilder().setPong(pong));
		this.listener.knowledge(this, ping.getKnowledge());
	}

	private void check() {
		PingMonitor monitor = this.pings;
		if (monitor == null || this.closed.isDone()) {
			return;
		}
		PingMonitor.Action action = monitor.check(!this.streams.isEmpty(), now());
		if (action == PingMonitor.Action.LOST) {
			this.counters.lostPongs().increment();
			closeInLoop(failure("ping", "no pong within " + this.settings.pongTimeout().toMillis() + " ms"));
		}
		else if (action == PingMonitor.Action.PING) {
			pingInLoop();
		}
	}

	private void pingInLoop() {
		PingMonitor monitor = this.pings;
		if (monitor != null) {
			Ping.Builder ping = Ping.newBuilder().setSequence(monitor.tryPing(now()));
			write(Frame.newBuilder().setPing(ping.setKnowledge(this.local.knowledge())));
		}
	}

	private boolean own(long id) {
		return (id % 2 == 1) == this.connecting;
	}

	// A window below one part would cost a round trip per part.
	private int window(int wanted) {
		return (wanted == 0) ? this.settings.initialCredit() : Math.max(wanted, ConnectionSettings.MAX_PART);
	}

	private long now() {
		return this.settings.ticker().nanoTime();
	}

	long ageNanos() {
		return now() - this.startNanos;
	}

	boolean helloOverdue() {
		return !established() && ageNanos() > this.settings.helloTimeout().toNanos();
	}

	ConnectionListener listener() {
		return this.listener;
	}

}
