package org.baobabknot.entry;

import io.netty.channel.EventLoop;
import org.baobabknot.protocol.ConnectionFailure;
import org.baobabknot.protocol.FrameHandler;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.Cancel;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.retry.AttemptOutcome;
import org.jspecify.annotations.Nullable;

/**
 * One attempt to run a request at an agent, or a query for the outcome of an earlier
 * attempt. Uses one stream, whose events it passes to the exchange on the caller's event
 * loop.
 */
final class AgentAttempt implements FrameHandler {

	private final Exchange exchange;

	private final EventLoop callerLoop;

	private final String agent;

	private final long startNanos;

	private final boolean resolving;

	private @Nullable Stream stream;

	private long responseDelayNanos;

	private long received;

	private boolean ended;

	AgentAttempt(Exchange exchange, EventLoop callerLoop, String agent, long startNanos, boolean resolving) {
		this.exchange = exchange;
		this.callerLoop = callerLoop;
		this.agent = agent;
		this.startNanos = startNanos;
		this.resolving = resolving;
	}

	@Override
	public void onFrame(Stream stream, Frame frame) {
		if (this.callerLoop.inEventLoop()) {
			this.exchange.frameReceived(this, frame);
		}
		else {
			this.callerLoop.execute(() -> this.exchange.frameReceived(this, frame));
		}
	}

	@Override
	public void onWritable(Stream stream) {
		runOnCallerLoop(() -> this.exchange.streamWritable(this));
	}

	@Override
	public void onConnectionLost(Stream stream, ConnectionFailure failure) {
		// Always deferred, because the connection may call this method while the stream
		// is being opened, before setStream.
		AttemptOutcome outcome = (stream.wasOpened() || this.resolving) ? AttemptOutcome.CONNECTION_LOST
				: AttemptOutcome.NOT_SENT;
		this.callerLoop.execute(() -> this.exchange.connectionLost(this, outcome, failure));
	}

	void setStream(Stream openedStream) {
		this.stream = openedStream;
	}

	Stream stream() {
		Stream openedStream = this.stream;
		if (openedStream == null) {
			throw new IllegalStateException("the stream is not open yet");
		}
		return openedStream;
	}

	String agent() {
		return this.agent;
	}

	boolean resolving() {
		return this.resolving;
	}

	void responseStarted(long nowNanos) {
		if (this.responseDelayNanos == 0) {
			this.responseDelayNanos = nowNanos - this.startNanos;
		}
	}

	long latencyNanos(long nowNanos) {
		return (this.responseDelayNanos != 0) ? this.responseDelayNanos : nowNanos - this.startNanos;
	}

	void addReceived(int bytes) {
		this.received += bytes;
	}

	long received() {
		return this.received;
	}

	/**
	 * Marks the attempt as ended.
	 * @return false if it had already ended
	 */
	boolean tryEnd() {
		boolean firstEnd = !this.ended;
		this.ended = true;
		return firstEnd;
	}

	void close() {
		stream().close();
	}

	void cancel(String reason) {
		stream().send(Frame.newBuilder().setCancel(Cancel.newBuilder().setReason(reason)));
		stream().close();
	}

	private void runOnCallerLoop(Runnable task) {
		if (this.callerLoop.inEventLoop()) {
			task.run();
		}
		else {
			this.callerLoop.execute(task);
		}
	}

}
