package org.baobabknot.entry;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * One connection of a caller. Requests on it are served one after the other; what a
 * caller sends ahead waits in a queue that is bounded by one read of the socket, because
 * nothing more is read while a request is open.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements Caller {

	// Time for a caller to read an early answer while its body is being discarded.
	private static final long LINGER_MS = 2_000;

	// A rest of a body up to this size is read and dropped to keep the connection.
	private static final long MAX_DISCARDED_BYTES = 64 << 10;

	private final CallerServer server;

	private final ArrayDeque<Object> pipelined = new ArrayDeque<>();

	private @Nullable ChannelHandlerContext channelContext;

	private @Nullable CallerWriter writer;

	private @Nullable Exchange exchange;

	private State state = State.IDLE;

	private long bodyBytes;

	private long lastProgressNanos;

	private long headStartNanos;

	private boolean headIncomplete;

	private boolean bodyDiscardable;

	private long requestCount;

	private boolean bodyComplete = true;

	private boolean keepAlive = true;

	private boolean readPending;

	/** Asked for during a read, to be done after it. */
	private boolean readRequested;

	private boolean draining;

	private boolean handlingPipelined;

	CallerConnection(CallerServer server) {
		this.server = server;
	}

	/** What the connection waits for. */
	private enum State {

		/** The head of a request. */
		IDLE,
		/** The decision of the pause gate; messages wait. */
		ADMITTING,
		/** The end of the exchange. */
		EXCHANGE,
		/** The rest of a body that nobody needs. */
		DISCARDING,
		/** Nothing. */
		CLOSED

	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channelContext = context;
		this.writer = new CallerWriter(context);
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		recordProgress();
		scheduleTimeoutCheck();
		requestRead();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		recordProgress();
		this.pipelined.add(message);
		handlePipelined();
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		this.readPending = false;
		boolean readAgain = this.readRequested;
		this.readRequested = false;
		// While an exchange is open one read stays pending, so that a caller that
		// disappears is noticed; what it delivers instead waits.
		if (readAgain || this.state == State.IDLE || this.state == State.DISCARDING
				|| (this.bodyComplete && this.pipelined.isEmpty())) {
			requestRead();
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (context.channel().isWritable()) {
			recordProgress();
			writer().writable();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.state = State.CLOSED;
		Exchange openExchange = this.exchange;
		if (openExchange != null) {
			openExchange.callerDisconnected();
		}
		this.pipelined.forEach(ReferenceCountUtil::release);
		this.pipelined.clear();
		this.server.connectionClosed(this);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

	/**
	 * Bytes arrived, which may be a part of a head that is not complete. The time allowed
	 * for a head starts with its first byte, so that a caller cannot stretch it by
	 * sending byte after byte.
	 */
	void bytesReceived() {
		if (this.state == State.IDLE && !this.headIncomplete) {
			this.headIncomplete = true;
			this.headStartNanos = this.server.now();
		}
	}

	/**
	 * Stops using the connection: it is closed now if it is idle, or after the answer.
	 */
	void drain() {
		eventLoop().execute(() -> {
			this.draining = true;
			if (this.state == State.IDLE && this.pipelined.isEmpty()) {
				channelContext().close();
			}
		});
	}

	@Override
	public EventLoop eventLoop() {
		return channelContext().channel().eventLoop();
	}

	@Override
	public void readBody() {
		if (this.pipelined.isEmpty()) {
			requestRead();
		}
		else if (!this.handlingPipelined) {
			handlePipelined();
		}
	}

	@Override
	public void startResponse(HttpResponse response) {
		setConnectionHeader(response);
		write(response);
	}

	@Override
	public void writeBody(ByteString data, Runnable onWritable) {
		writer().writeBody(data, onWritable);
	}

	@Override
	public void endResponse() {
		write(LastHttpContent.EMPTY_LAST_CONTENT);
		responseCompleted();
	}

	@Override
	public void abortResponse() {
		this.state = State.CLOSED;
		channelContext().close();
	}

	@Override
	public void sendError(ErrorResponse error, String requestId) {
		if (this.state == State.CLOSED) {
			return;
		}
		FullHttpResponse response = error.toHttpResponse(requestId);
		this.keepAlive &= this.bodyComplete || this.bodyDiscardable;
		if (!requestId.isEmpty()) {
			response.headers().set("X-Request-Id", requestId);
		}
		setConnectionHeader(response);
		write(response);
		responseCompleted();
	}

	private void handlePipelined() {
		if (this.handlingPipelined) {
			return;
		}
		this.handlingPipelined = true;
		try {
			while (!this.pipelined.isEmpty() && canHandle(this.pipelined.peek())) {
				Object message = this.pipelined.remove();
				try {
					handle(message);
				}
				finally {
					ReferenceCountUtil.release(message);
				}
			}
		}
		finally {
			this.handlingPipelined = false;
		}
	}

	// A new head waits until the exchange before it has ended.
	private boolean canHandle(Object message) {
		return switch (this.state) {
			case IDLE, DISCARDING -> true;
			case EXCHANGE -> !(message instanceof HttpRequest);
			case ADMITTING, CLOSED -> false;
		};
	}

	private void handle(Object message) {
		if (message instanceof HttpRequest head) {
			startRequest(head);
		}
		else if (message instanceof HttpContent content) {
			handleContent(content);
		}
	}

	private void startRequest(HttpRequest head) {
		boolean valid = head.decoderResult().isSuccess();
		long length = (valid) ? HttpUtil.getContentLength(head, 0L) : 0;
		boolean chunked = HttpUtil.isTransferEncodingChunked(head);
		this.bodyComplete = length == 0 && !chunked;
		this.bodyDiscardable = !chunked && length <= MAX_DISCARDED_BYTES && !HttpUtil.is100ContinueExpected(head);
		this.bodyBytes = 0;
		this.headIncomplete = false;
		this.requestCount++;
		this.keepAlive = valid && HttpUtil.isKeepAlive(head);
		FullHttpResponse health = (valid) ? this.server.healthResponse(head.uri()) : null;
		if (health != null) {
			this.state = State.EXCHANGE;
			setConnectionHeader(health);
			write(health);
			responseCompleted();
			return;
		}
		this.state = State.ADMITTING;
		this.server.runWhenRulesCurrent(eventLoop(), () -> admit(head));
	}

	private void admit(HttpRequest head) {
		if (this.state == State.CLOSED) {
			return;
		}
		this.state = State.EXCHANGE;
		RequestParser.Result result = this.server.checkRequest(head);
		if (result instanceof RequestParser.Result.Refused refused) {
			// The decoder may have lost its place after a malformed head.
			this.keepAlive &= refused.error().type().startsWith("not-run");
			sendError(refused.error(), "");
			return;
		}
		CallerRequest request = ((RequestParser.Result.Accepted) result).request();
		if (HttpUtil.is100ContinueExpected(head)) {
			write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
		}
		this.exchange = this.server.openExchange(this, request);
		readBody();
	}

	private void handleContent(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		this.bodyComplete |= last;
		Exchange openExchange = this.exchange;
		if (openExchange != null && !openExchange.done()) {
			this.bodyBytes += content.content().readableBytes();
			if (content.decoderResult().isFailure()) {
				this.keepAlive = false;
				openExchange.rejectBody(ErrorResponse.badRequest("malformed body"));
			}
			else if (this.bodyBytes > this.server.maxBodyBytes()) {
				openExchange.rejectBody(this.server.bodyTooLong());
			}
			else {
				openExchange.body(ByteString.copyFrom(content.content().nioBuffer()), last);
			}
		}
		if (last && this.state == State.DISCARDING) {
			startNextRequest();
		}
	}

	// An answer before the end of the request leaves bytes of the body in the socket.
	// Closing at once would reset the connection and could destroy the answer, so the
	// rest is read and discarded for a while.
	private void responseCompleted() {
		this.exchange = null;
		if (this.bodyComplete) {
			startNextRequest();
			return;
		}
		this.keepAlive &= this.bodyDiscardable;
		this.state = State.DISCARDING;
		long discardedRequest = this.requestCount;
		eventLoop().schedule(() -> {
			if (this.state == State.DISCARDING && this.requestCount == discardedRequest) {
				channelContext().close();
			}
		}, LINGER_MS, TimeUnit.MILLISECONDS);
		readBody();
	}

	private void startNextRequest() {
		recordProgress();
		if (!this.keepAlive || this.draining) {
			this.state = State.CLOSED;
			writer().closeAfterWrites();
			return;
		}
		this.state = State.IDLE;
		if (this.pipelined.isEmpty()) {
			requestRead();
		}
		else {
			eventLoop().execute(this::handlePipelined);
		}
	}

	private void setConnectionHeader(HttpResponse response) {
		if (this.draining || this.server.closeAnnounced()) {
			this.keepAlive = false;
		}
		if (!this.keepAlive) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
	}

	private void write(Object message) {
		writer().write(message);
	}

	private CallerWriter writer() {
		CallerWriter currentWriter = this.writer;
		if (currentWriter == null) {
			throw new IllegalStateException("not in a pipeline");
		}
		return currentWriter;
	}

	private void requestRead() {
		if (this.readPending) {
			this.readRequested = true;
			return;
		}
		this.readPending = true;
		channelContext().read();
	}

	private void recordProgress() {
		this.lastProgressNanos = this.server.now();
	}

	private void scheduleTimeoutCheck() {
		eventLoop().schedule(() -> {
			if (this.state != State.CLOSED) {
				checkTimeouts(this.server.now() - this.lastProgressNanos);
				scheduleTimeoutCheck();
			}
		}, this.server.checkIntervalMs(), TimeUnit.MILLISECONDS);
	}

	private void checkTimeouts(long silentNanos) {
		boolean writeBlocked = !channelContext().channel().isWritable();
		if (writeBlocked && silentNanos > this.server.writeTimeoutNanos()) {
			channelContext().close();
		}
		else if (this.headIncomplete && this.server.now() - this.headStartNanos > this.server.readTimeoutNanos()) {
			this.keepAlive = false;
			this.state = State.EXCHANGE;
			this.headIncomplete = false;
			sendError(ErrorResponse.badRequest(HttpResponseStatus.REQUEST_TIMEOUT, "the head did not arrive in time"),
					"");
		}
		else if (this.state == State.IDLE && silentNanos > this.server.idleTimeoutNanos()) {
			channelContext().close();
		}
		else if (this.state == State.EXCHANGE && !this.bodyComplete && !writeBlocked
				&& silentNanos > this.server.readTimeoutNanos() && this.pipelined.isEmpty()) {
			Exchange openExchange = this.exchange;
			this.keepAlive = false;
			if (openExchange != null) {
				openExchange.rejectBody(ErrorResponse.badRequest(HttpResponseStatus.REQUEST_TIMEOUT,
						"the body did not arrive in time"));
			}
		}
	}

	private ChannelHandlerContext channelContext() {
		ChannelHandlerContext currentContext = this.channelContext;
		if (currentContext == null) {
			throw new IllegalStateException("not in a pipeline");
		}
		return currentContext;
	}

}
