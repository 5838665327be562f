package org.baobabknot.agent;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executor;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import org.baobabknot.httpclient.Failure;
import org.baobabknot.httpclient.HttpExchange;
import org.baobabknot.httpclient.ResponseHead;
import org.baobabknot.protocol.generated.RequestStart;
import org.baobabknot.target.Target;
import org.baobabknot.target.TargetListener;
import org.baobabknot.target.TargetRequest;
import org.jspecify.annotations.Nullable;

/**
 * The call of one request to the target. Events of the target are passed on to the event
 * loop of the request; the methods are called there.
 */
final class TargetCall implements TargetListener {

	private final Executor loop;

	private final Events events;

	private @Nullable HttpExchange exchange;

	private int unacknowledged;

	private boolean paused;

	TargetCall(Executor loop, Events events) {
		this.loop = loop;
		this.events = events;
	}

	/**
	 * Sends the head of the request and what has arrived of the body.
	 * @param target the target
	 * @param start the request
	 * @param requestId id of the request as text
	 * @param incarnation incarnation that an engine must have, 0 for any
	 * @param body the part of the body that has arrived
	 * @param bodyLength length of the body, negative when it is not known
	 * @param timeout longest time to the head of the answer and between two parts
	 */
	void start(Target target, RequestStart start, String requestId, long incarnation, List<ByteString> body,
			long bodyLength, Duration timeout) {
		TargetRequest request = new TargetRequest(start.getMethod(), start.getPath(),
				Headers.toTarget(start.getHeadersList(), requestId), incarnation, timeout, timeout, bodyLength);
		this.exchange = target.send(request, this);
		body.forEach(this::writeNow);
	}

	/**
	 * Writes a part of the body.
	 * @param part the part
	 * @return bytes to be granted to the sender now; the rest is reported by
	 * {@link Events#onWritable}
	 */
	int write(ByteString part) {
		writeNow(part);
		this.unacknowledged += part.size();
		return exchange().isWritable() ? takeUnacknowledged() : 0;
	}

	private void writeNow(ByteString part) {
		exchange().write(Unpooled.wrappedBuffer(part.asReadOnlyByteBuffer()));
	}

	int takeUnacknowledged() {
		int bytes = this.unacknowledged;
		this.unacknowledged = 0;
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
		HttpExchange open = this.exchange;
		if (open == null) {
			throw new IllegalStateException("the call has not started");
		}
		return open;
	}

	@Override
	public void onHead(ResponseHead head) {
		this.loop.execute(() -> this.events.started(head));
	}

	@Override
	public void onBodyPart(ByteBuf part) {
		ByteString bytes = UnsafeByteOperations.unsafeWrap(ByteBufUtil.getBytes(part));
		this.loop.execute(() -> this.events.part(bytes));
	}

	@Override
	public void onEnd() {
		this.loop.execute(this.events::ended);
	}

	@Override
	public void onNotRun(Failure failure) {
		this.loop.execute(() -> this.events.notRun(failure));
	}

	@Override
	public void onFailure(Failure failure) {
		this.loop.execute(() -> this.events.failed(failure));
	}

	@Override
	public void onWritable() {
		this.loop.execute(this.events::targetWritable);
	}

	/**
	 * Events of the call, on the event loop of the request: a head, parts, then exactly
	 * one of {@code ended}, {@code notRun} and {@code failed}.
	 */
	interface Events {

		void started(ResponseHead head);

		void part(ByteString part);

		void ended();

		void notRun(Failure failure);

		void failed(Failure failure);

		void targetWritable();

	}

}
