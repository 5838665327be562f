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
 * thread keep their order. Body parts are queued until the peer has granted credit for
 * them; a sender keeps this queue short by checking {@link #isWritable}.
 */
public final class Stream {

	private final Connection connection;

	private final ArrayDeque<Frame.Builder> queuedFrames = new ArrayDeque<>();

	private final int receiveWindowBytes;

	private long id;

	private @Nullable FrameHandler handler;

	private long sendCreditBytes;

	private long receiveCreditBytes;

	private int unreportedBytes;

	private boolean writableAwaited;

	/**
	 * Whether the stream closes once the queued frames are sent; used on the event loop
	 * only.
	 */
	private boolean closing;

	private volatile boolean creditAvailable = true;

	private volatile boolean closed;

	Stream(Connection connection, int receiveWindowBytes, long sendCreditBytes) {
		this.connection = connection;
		this.receiveWindowBytes = receiveWindowBytes;
		this.receiveCreditBytes = receiveWindowBytes;
		this.sendCreditBytes = sendCreditBytes;
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
	 * Whether the connection was open when the stream was opened on it. If not, the peer
	 * got no frame of the stream. Used on the event loop.
	 * @return false if nothing was sent
	 */
	public boolean wasOpened() {
		return this.id != 0;
	}

	/**
	 * Whether a body part would be sent at once: credit is available, no frame is queued
	 * and the socket's write buffer is below its high-water mark.
	 * @return false until {@link FrameHandler#onWritable}
	 */
	public boolean isWritable() {
		if (!this.creditAvailable || !this.connection.isWritable()) {
			if (eventLoop().inEventLoop()) {
				this.writableAwaited = true;
			}
			else {
				eventLoop().execute(this::awaitWritable);
			}
			return false;
		}
		return !this.closed;
	}

	/**
	 * Sends a frame. Body parts are queued until credit is available, and later frames
	 * are queued after them, except Cancel, Credit, Refused and Failed, which make the
	 * queued frames obsolete or do not depend on them.
	 * @param frame the frame; its stream number and clock are filled in
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
		if (size <= ConnectionSettings.MAX_BODY_PART_BYTES) {
			send(bodyPart(data));
			return;
		}
		for (int from = 0; from < size; from += ConnectionSettings.MAX_BODY_PART_BYTES) {
			sendBody(data.substring(from, Math.min(size, from + ConnectionSettings.MAX_BODY_PART_BYTES)));
		}
	}

	/**
	 * Records that received body bytes have been processed, which grants the peer new
	 * credit for them.
	 * @param bytes number of body bytes
	 */
	public void recordConsumed(int bytes) {
		if (eventLoop().inEventLoop()) {
			recordConsumedInLoop(bytes);
		}
		else {
			eventLoop().execute(() -> recordConsumedInLoop(bytes));
		}
	}

	/**
	 * Closes the stream on this side once the queued frames are sent. Later frames from
	 * the peer are dropped. The peer is not notified, so call this after the last frame
	 * of the exchange or after a Cancel.
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
	 * @return true when no more frames can be sent
	 */
	public boolean isClosed() {
		return this.closed;
	}

	void initialize(long streamId, @Nullable FrameHandler streamHandler) {
		this.id = streamId;
		this.handler = streamHandler;
	}

	/**
	 * Applies a Credit frame, or passes another frame to the handler.
	 * @param frame the frame
	 * @return false if the peer sent more body bytes than it was granted
	 */
	boolean tryReceive(Frame frame) {
		if (frame.hasCredit()) {
			this.sendCreditBytes += frame.getCredit().getBytes();
			sendQueued();
			return true;
		}
		if (frame.hasBodyPart()) {
			this.receiveCreditBytes -= frame.getBodyPart().getData().size();
			if (this.receiveCreditBytes < 0) {
				return false;
			}
		}
		if (this.closing && frame.hasCancel()) {
			this.queuedFrames.clear();
			this.connection.removeStream(this);
			return true;
		}
		FrameHandler frameHandler = this.handler;
		if (frameHandler != null && !this.closing) {
			frameHandler.onFrame(this, frame);
		}
		return true;
	}

	void onSocketWritable() {
		if (this.writableAwaited && this.creditAvailable && !this.closed) {
			this.writableAwaited = false;
			FrameHandler frameHandler = this.handler;
			if (frameHandler != null) {
				frameHandler.onWritable(this);
			}
		}
	}

	void connectionLost(ConnectionFailure failure) {
		FrameHandler frameHandler = this.handler;
		boolean notifyHandler = !this.closed && !this.closing;
		this.closed = true;
		this.closing = true;
		this.queuedFrames.clear();
		if (notifyHandler && frameHandler != null) {
			frameHandler.onConnectionLost(this, failure);
		}
	}

	private void awaitWritable() {
		this.writableAwaited = true;
		if (this.creditAvailable && this.connection.isWritable()) {
			onSocketWritable();
		}
	}

	private void sendInLoop(Frame.Builder frame) {
		if (this.closing) {
			return;
		}
		if (frame.hasCancel() || frame.hasRefused() || frame.hasFailed()) {
			this.queuedFrames.clear();
		}
		else if (!this.queuedFrames.isEmpty()) {
			this.queuedFrames.add(frame);
			return;
		}
		if (!trySend(frame)) {
			this.queuedFrames.add(frame);
			this.creditAvailable = false;
		}
	}

	/**
	 * Sends a frame as far as credit allows. A body part that exceeds the credit is
	 * split: the peer grants new credit only after half of its window, which may be less
	 * than one part.
	 * @param frame the frame
	 * @return false if unsent bytes remain in the frame
	 */
	private boolean trySend(Frame.Builder frame) {
		if (!frame.hasBodyPart()) {
			transmit(frame);
			return true;
		}
		ByteString data = frame.getBodyPart().getData();
		int size = (int) Math.min(data.size(), this.sendCreditBytes);
		if (size < data.size()) {
			if (size > 0) {
				this.sendCreditBytes -= size;
				transmit(bodyPart(data.substring(0, size)));
				frame.setBodyPart(BodyPart.newBuilder().setData(data.substring(size)));
			}
			return false;
		}
		this.sendCreditBytes -= size;
		this.creditAvailable = this.sendCreditBytes > 0;
		transmit(frame);
		return true;
	}

	private static Frame.Builder bodyPart(ByteString data) {
		return Frame.newBuilder().setBodyPart(BodyPart.newBuilder().setData(data));
	}

	private void transmit(Frame.Builder frame) {
		this.connection.write(frame.setStream(this.id));
	}

	private void sendQueued() {
		while (!this.queuedFrames.isEmpty() && trySend(this.queuedFrames.peek())) {
			this.queuedFrames.remove();
		}
		this.creditAvailable = this.queuedFrames.isEmpty() && this.sendCreditBytes > 0;
		if (this.closing && this.queuedFrames.isEmpty()) {
			this.connection.removeStream(this);
		}
		else if (this.connection.isWritable()) {
			onSocketWritable();
		}
	}

	private void recordConsumedInLoop(int bytes) {
		this.unreportedBytes += bytes;
		if (this.unreportedBytes * 2 >= this.receiveWindowBytes && !this.closing) {
			this.receiveCreditBytes += this.unreportedBytes;
			int grantedBytes = this.unreportedBytes;
			this.unreportedBytes = 0;
			this.connection
				.write(Frame.newBuilder().setStream(this.id).setCredit(Credit.newBuilder().setBytes(grantedBytes)));
		}
	}

	private void closeInLoop() {
		this.closing = true;
		if (this.queuedFrames.isEmpty()) {
			this.connection.removeStream(this);
		}
	}

}
