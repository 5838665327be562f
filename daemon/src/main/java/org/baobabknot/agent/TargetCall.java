package org.baobabknot.agent;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executor;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import org.baobabknot.httpclient.HttpExchange;
import org.baobabknot.httpclient.HttpFailure;
import org.baobabknot.httpclient.ResponseHead;
import org.baobabknot.protocol.generated.RequestStart;
import org.baobabknot.target.Target;
import org.baobabknot.target.TargetListener;
import org.baobabknot.target.TargetRequest;
import org.jspecify.annotations.Nullable;

/**
 * The HTTP call of one request to the target. Passes the events of the target to a
 * listener on the event loop of the request. The package-private methods must be called
 * on that event loop too.
 */
final class TargetCall implements TargetListener {

	private final Executor eventLoop;

	private final Listener listener;

	private @Nullable HttpExchange exchange;

	private int unacknowledgedBytes;

	private boolean paused;

	TargetCall(Executor eventLoop, Listener listener) {
		this.eventLoop = eventLoop;
		this.listener = listener;
	}

	/**
	 * Sends the head of the request and the part of the body that has arrived.
	 * @param target the target
	 * @param start the request
	 * @param requestId id of the request as text
	 * @param incarnation incarnation that the engine must have, 0 for any
	 * @param body the part of the body that has arrived
	 * @param bodyLength length of the body in bytes, negative if unknown
	 * @param timeout timeout for the head of the response and between two parts of its
	 * body
	 */
	void start(Target target, RequestStart start, String requestId, long incarnation, List<ByteString> body,
			long bodyLength, Duration timeout) {
		TargetRequest request = new TargetRequest(start.getMethod(), start.getPath(),
				TargetHeaders.requestHeaders(start.getHeadersList(), requestId), incarnation, timeout, timeout,
				bodyLength);
		this.exchange = target.send(request, this);
		body.forEach(this::writeToExchange);
	}

	/**
	 * Writes a part of the body.
	 * @param part the part
	 * @return bytes of credit to grant to the sender now, 0 while the target accepts no
	 * more; those are granted after {@link Events#writable}
	 */
	int write(ByteString part) {
		writeToExchange(part);
		this.unacknowledgedBytes += part.size();
		return exchange().isWritable() ? takeUnacknowledgedBytes() : 0;
	}

	private void writeToExchange(ByteString part) {
		exchange().write(Unpooled.wrappedBuffer(part.asReadOnlyByteBuffer()));
	}

	int takeUnacknowledgedBytes() {
		int bytes = this.unacknowledgedBytes;
		this.unacknowledgedBytes = 0;
		return bytes;
	}

	void end() {
		exchange().end();
	}

	void pause() {
		if (!this.paused) {
			this.paused = true;
			exchange().pause();
		}
	}

	void resume() {
		if (this.paused) {
			this.paused = false;
			exchange().resume();
		}
	}

	void cancel(String reason) {
		exchange().cancel(reason);
	}

	private HttpExchange exchange() {
		HttpExchange current = this.exchange;
		if (current == null) {
			throw new IllegalStateException("the call has not started");
		}
		return current;
	}

	@Override
	public void onHead(ResponseHead head) {
		this.eventLoop.execute(() -> this.listener.onResponseStart(head));
	}

	@Override
	public void onBodyPart(ByteBuf part) {
		ByteString bytes = UnsafeByteOperations.unsafeWrap(ByteBufUtil.getBytes(part));
		this.eventLoop.execute(() -> this.listener.onResponsePart(bytes));
	}

	@Override
	public void onEnd() {
		this.eventLoop.execute(this.listener::onResponseEnd);
	}

	@Override
	public void onNotRun(HttpFailure failure) {
		this.eventLoop.execute(() -> this.listener.onNotRun(failure));
	}

	@Override
	public void onFailure(HttpFailure failure) {
		this.eventLoop.execute(() -> this.listener.onFailure(failure));
	}

	@Override
	public void onWritable() {
		this.eventLoop.execute(this.listener::onTargetWritable);
	}

	/**
	 * Receives the events of the call on the event loop of the request: the head of the
	 * response, parts of its body, and at last exactly one of {@code onResponseEnd},
	 * {@code onNotRun} and {@code onFailure}.
	 */
	interface Listener {

		void onResponseStart(ResponseHead head);

		void onResponsePart(ByteString part);

		void onResponseEnd();

		void onNotRun(HttpFailure failure);

		void onFailure(HttpFailure failure);

		void onTargetWritable();

	}

}
