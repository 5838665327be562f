package org.baobabknot.entry;

import io.netty.channel.EventLoop;
import org.baobabknot.protocol.Failure;
import org.baobabknot.protocol.FrameHandler;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.Cancel;
import org.baobabknot.protocol.generated.Frame;
import org.jspecify.annotations.Nullable;

/**
 * One stream of an exchange to an agent: an attempt to run the request, or a question
 * about an earlier attempt. Passes the events of the stream to the caller's event loop.
 */
final class Attempt implements FrameHandler {

	private final Exchange exchange;

	private final EventLoop loop;

	private final String agent;

	private final long startNanos;

	private final boolean resolving;

	private @Nullable Stream stream;

	private long answerNanos;

	private long received;

	private boolean ended;

	Attempt(Exchange exchange, EventLoop loop, String agent, long startNanos, boolean resolving) {
		this.exchange = exchange;
		this.loop = loop;
		this.agent = agent;
		this.startNanos = startNanos;
		this.resolving = resolving;
	}

	@Override
	public void onFrame(Stream from, Frame frame) {
		if (this.loop.inEventLoop()) {
			this.exchange.received(this, frame);
		}
		else {
			this.loop.execute(() -> this.exchange.received(this, frame));
		}
	}

	@Override
	public void onWritable(Stream on) {
		run(() -> this.exchange.writable(this));
	}

	@Override
	public void onConnectionLost(Stream from, Failure failure) {
		// Never run inside the caller of open, which has not set the stream yet.
		this.loop.execute(() -> this.exchange.lost(this, failure));
	}

	void opened(Stream on) {
		this.stream = on;
	}

	Stream stream() {
		Stream open = this.stream;
		if (open == null) {
			throw new IllegalStateException("the stream is not open yet");
		}
		return open;
	}

	String agent() {
		return this.agent;
	}

	boolean resolving() {
		return this.resolving;
	}

	void answered(long nowNanos) {
		if (this.answerNanos == 0) {
			this.answerNanos = nowNanos - this.startNanos;
		}
	}

	long latencyNanos(long nowNanos) {
		return (this.answerNanos != 0) ? this.answerNanos : nowNanos - this.startNanos;
	}

	void count(int bytes) {
		this.received += bytes;
	}

	long received() {
		return this.received;
	}

	/**
	 * Ends the attempt once.
	 * @return false if it has ended before
	 */
	boolean tryEnd() {
		boolean first = !this.ended;
		this.ended = true;
		return first;
	}

	void close() {
		stream().close();
	}

	void cancel(String reason) {
		stream().send(Frame.newBuilder().setCancel(Cancel.newBuilder().setReason(reason)));
		stream().close();
	}

	private void run(Runnable task) {
		if (this.loop.inEventLoop()) {
			task.run();
		}
		else {
			this.loop.execute(task);
		}
	}

}
