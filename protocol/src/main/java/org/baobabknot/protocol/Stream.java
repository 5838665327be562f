package org.baobabknot.protocol;

import java.util.ArrayDeque;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import org.baobabknot.protocol.generated.BodyPart;
import org.baobabknot.protocol.generated.Credit;
import org.baobabknot.protocol.generated.Frame;
import org.jspecify.annotations.Nullable;

/**
 * One exchange on a connection. Methods may be called on any thread; frames sent by one
 * thread keep their order. Body parts wait inside the stream until the peer has granted
 * credit for them; a sender keeps this queue short by checking {@link #writable}.
 */
public final class Stream {

	private final Connection connection;

	private final ArrayDeque<Frame.Builder> waiting = new ArrayDeque<>();

	private final int window;

	private long id;

	private @Nullable FrameHandler handler;

	private long sendCredit;

	private long receiveCredit;

	private int consumed;

	private boolean blocked;

	/** Closed after the waiting frames are sent; only read and written on the loop. */
	private boolean closing;

	private volatile boolean writable = true;

	private volatile boolean closed;

	Stream(Connection connection, int window, long sendCredit) {
		this.connection = connection;
		this.window = window;
		this.receiveCredit = window;
		this.sendCredit = sendCredit;
	}

	/**
	 * The connection that carries this stream.
	 * @return the connection
	 */
	public Connection connection() {
		return this.connection;
	}

	/**
	 * Event loop on which the handler is called.
	 * @return the loop of the connection
	 */
	public EventLoop eventLoop() {
		return this.connection.eventLoop();
	}

	/**
	 * Number of the stream on its connection; assigned on the event loop.
	 * @return odd if opened by the connecting side, 0 if not yet assigned
	 */
	public long id() {
		return this.id;
	}

	/**
	 * Whether a body part would be sent at once: credit is left, nothing waits and the
	 * socket's queue is below its high-water mark.
	 * @return false until {@link FrameHandler#writable}
	 */
	public boolean writable() {
		if (!this.writable || !this.connection.writable()) {
			if (eventLoop().inEventLoop()) {
				this.blocked = true;
			}
			else {
				eventLoop().execute(this::block);
			}
			return false;
		}
		return !this.closed;
	}

	/**
	 * Sends a frame; its stream number and clock are filled in. Body parts wait for
	 * credit, and frames that follow a waiting body part wait behind it, except Cancel,
	 * Credit, Refused and Failed, which make the waiting frames obsolete or do not depend
	 * on them.
	 * @param frame the frame
	 */
	public void send(Frame.Builder frame) {
		if (eventLoop().inEventLoop()) {
			sendInLoop(frame);
		}
		else {
			eventLoop().execute(() -> sendInLoop(frame));
		}
	}

	/**
	 * Sends bytes of a body in parts of at most 64 KiB.
	 * @param data the bytes
	 */
	public void sendBody(ByteString data) {
		int size = data.size();
		if (size <= ConnectionSettings.MAX_PART) {
			send(part(data));
			return;
		}
		for (int from = 0; from < size; from += ConnectionSettings.MAX_PART) {
			sendBody(data.substring(from, Math.min(size, from + ConnectionSettings.MAX_PART)));
		}
	}

	/**
	 * Grants the peer new credit for bytes that were received and passed on.
	 * @param bytes number of bytes of body parts
	 */
	public void consumed(int bytes) {
		if (eventLoop().inEventLoop()) {
			consumedInLoop(bytes);
		}
		else {
			eventLoop().execute(() -> consumedInLoop(bytes));
		}
	}

	/**
	 * Ends the stream on this side once the frames sent before have left. Later frames
	 * from the peer are dropped; the peer is not told, so this follows the last frame of
	 * the exchange, or a Cancel.
	 */
	public void close() {
		this.closed = true;
		if (eventLoop().inEventLoop()) {
			closeInLoop();
		}
		else {
			eventLoop().execute(this::closeInLoop);
		}
	}

	/**
	 * Whether {@link #close} was called or the connection is closed.
	 * @return true when nothing can be sent any more
	 */
	public boolean closed() {
		return this.closed;
	}

	void opened(long assigned, @Nullable FrameHandler to) {
		this.id = assigned;
		this.handler = to;
	}

	/**
	 * Passes a frame to the handler.
	 * @param frame the frame
	 * @return false if the peer sent more than it was granted
	 */
	boolean tryReceive(Frame frame) {
		if (frame.hasCredit()) {
			this.sendCredit += frame.getCredit().getBytes();
			drain();
			return true;
		}
		if (frame.hasBodyPart()) {
			this.receiveCredit -= frame.getBodyPart().getData().size();
			if (this.receiveCredit < 0) {
				return false;
			}
		}
		if (this.closing && frame.hasCancel()) {
			this.waiting.clear();
			this.connection.forget(this);
			return true;
		}
		FrameHandler to = this.handler;
		if (to != null && !this.closing) {
			to.received(this, frame);
		}
		return true;
	}

	void socketWritable() {
		if (this.blocked && this.writable && !this.closed) {
			this.blocked = false;
			FrameHandler to = this.handler;
			if (to != null) {
				to.writable(this);
			}
		}
	}

	void lost(Failure failure) {
		FrameHandler to = this.handler;
		boolean tell = !this.closed && !this.closing;
		this.closed = true;
		this.closing = true;
		this.waiting.clear();
		if (tell && to != null) {
			to.lost(this, failure);
		}
	}

	private void block() {
		this.blocked = true;
		if (this.writable && this.connection.writable()) {
			socketWritable();
		}
	}

	private void sendInLoop(Frame.Builder frame) {
		if (this.closing) {
			return;
		}
		if (frame.hasCancel() || frame.hasRefused() || frame.hasFailed()) {
			this.waiting.clear();
		}
		else if (!this.waiting.isEmpty()) {
			this.waiting.add(frame);
			return;
		}
		if (!trySend(frame)) {
			this.waiting.add(frame);
			this.writable = false;
		}
	}

	/**
	 * Sends a frame as far as credit allows. A body part is split, because the peer
	 * grants credit only after half of its window, which may be less than one part.
	 * @param frame the frame
	 * @return false if a rest is left in the frame
	 */
	private boolean trySend(Frame.Builder frame) {
		if (!frame.hasBodyPart()) {
			transmit(frame);
			return true;
		}
		ByteString data = frame.getBodyPart().getData();
		int size = (int) Math.min(data.size(), this.sendCredit);
		if (size < data.size()) {
			if (size > 0) {
				this.sendCredit -= size;
				transmit(part(data.substring(0, size)));
				frame.setBodyPart(BodyPart.newBuilder().setData(data.substring(size)));
			}
			return false;
		}
		this.sendCredit -= size;
		this.writable = this.sendCredit > 0;
		transmit(frame);
		return true;
	}

	private static Frame.Builder part(ByteString data) {
		return Frame.newBuilder().setBodyPart(BodyPart.newBuilder().setData(data));
	}

	private void transmit(Frame.Builder frame) {
		this.connection.write(frame.setStream(this.id));
	}

	private void drain() {
		while (!this.waiting.isEmpty() && trySend(this.waiting.peek())) {
			this.waiting.remove();
		}
		this.writable = this.waiting.isEmpty() && this.sendCredit > 0;
		if (this.closing && this.waiting.isEmpty()) {
			this.connection.forget(this);
		}
		else if (this.connection.writable()) {
			socketWritable();
		}
	}

	private void consumedInLoop(int bytes) {
		this.consumed += bytes;
		if (this.consumed * 2 >= this.window && !this.closing) {
			this.receiveCredit += this.consumed;
			int granted = this.consumed;
			this.consumed = 0;
			this.connection
				.write(Frame.newBuilder().setStream(this.id).setCredit(Credit.newBuilder().setBytes(granted)));
		}
	}

	private void closeInLoop() {
		this.closing = true;
		if (this.waiting.isEmpty()) {
			this.connection.forget(this);
		}
	}

}
