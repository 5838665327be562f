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
 * credit for them; a sender keeps this queue short by checking {@link #creditAvailable}.
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

	/** Closed after the waiting frames are sent; only read and written on the loop. */
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
	 * Whether a body part would be sent at once: credit is left, nothing waits and the
	 * socket's queue is below its high-water mark.
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
		if (size <= ConnectionSettings.MAX_BODY_PART_BYTES) {
			send(bodyPart(data));
			return;
		}
		for (int from = 0; from < size; from += ConnectionSettings.MAX_BODY_PART_BYTES) {
			sendBody(data.substring(from, Math.min(size, from + ConnectionSettings.MAX_BODY_PART_BYTES)));
		}
	}

	/**
	 * Grants the peer new credit for bytes that were received and passed on.
	 * @param bytes number of bytes of body parts
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
	public boolean isClosed() {
		return this.closed;
	}

	void initialize(long streamId, @Nullable FrameHandler streamHandler) {
		this.id = streamId;
		this.handler = streamHandler;
	}

	/**
	 * Passes a frame to the handler.
	 * @param frame the frame
	 * @return false if the peer sent more than it was granted
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

	void connectionLost(Failure failure) {
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
