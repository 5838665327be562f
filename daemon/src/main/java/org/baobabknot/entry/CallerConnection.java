package org.baobabknot.entry;

import java.util.ArrayDeque;
import java.util.Objects;
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
 * One HTTP connection of a caller, which runs one request at a time. Pipelined messages
 * are queued; the queue is bounded by one read of the socket, because reading stops while
 * a request is open.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements Caller {

	// Time for a caller to read a response sent before the end of its request body.
	private static final long LINGER_MS = 2_000;

	// Bodies up to this size are read to the end and discarded after an early response,
	// so that the connection can be reused.
	private static final long MAX_DISCARDED_BYTES = 64 << 10;

	private final CallerServer server;

	private final ArrayDeque<Object> pipelined = new ArrayDeque<>();

	private @Nullable ChannelHandlerContext channelContext;

	private @Nullable CallerWriter writer;

	private @Nullable SocketReads reads;

	private @Nullable Exchange exchange;

	private CallerState state = CallerState.IDLE;

	private long bodyBytes;

	private long lastProgressNanos;

	private long headStartNanos;

	private boolean headIncomplete;

	private boolean bodyDiscardable;

	private long requestCount;

	private boolean bodyComplete = true;

	private boolean keepAlive = true;

	private boolean draining;

	private boolean handlingPipelined;

	CallerConnection(CallerServer server) {
		this.server = server;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channelContext = context;
		this.writer = new CallerWriter(context);
		this.reads = new SocketReads(context, this::recordProgress);
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
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
		boolean readAgain = Objects.requireNonNull(this.reads).complete();
		// One read stays pending while an exchange is open, to detect that the caller
		// has closed the connection. Data that arrives instead is queued.
		if (readAgain || this.state == CallerState.IDLE || this.state == CallerState.DISCARDING
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
		if (this.state == CallerState.ADMITTING) {
			this.server.log().unidentifiedRequestEnded("caller-gone", 0, "");
		}
		this.state = CallerState.CLOSED;
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
	 * Starts the timeout of a request head at its first byte, so that a caller cannot
	 * extend it by sending the head slowly. Called for any received bytes.
	 */
	void bytesReceived() {
		if (this.state == CallerState.IDLE && !this.headIncomplete) {
			this.headIncomplete = true;
			this.headStartNanos = this.server.now();
		}
	}

	/**
	 * Closes the connection, at once if it is idle and else after the response. It isn't
	 * idle once a request head has begun to arrive.
	 */
	void drain() {
		eventLoop().execute(() -> {
			this.draining = true;
			if (this.state == CallerState.IDLE && !this.headIncomplete && this.pipelined.isEmpty()) {
				// The caller may still be reading the last response.
				this.state = CallerState.CLOSED;
				writer().closeAfterWrites();
			}
		});
	}

	/**
	 * Ends an open request, because the process ends.
	 */
	void processEnding() {
		eventLoop().execute(() -> {
			this.draining = true;
			this.keepAlive = false;
			Exchange openExchange = this.exchange;
			if (openExchange != null) {
				openExchange.processEnding();
			}
			else if (this.state == CallerState.ADMITTING
					|| (this.state == CallerState.IDLE && (this.headIncomplete || !this.pipelined.isEmpty()))) {
				refuse("process-end", ErrorResponse.processEnded(false));
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
		this.state = CallerState.CLOSED;
		channelContext().close();
	}

	@Override
	public void sendError(ErrorResponse error, String requestId) {
		if (this.state == CallerState.CLOSED) {
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

	// Refuses a request that has no exchange.
	private void refuse(String outcome, ErrorResponse error) {
		if (this.state == CallerState.CLOSED) {
			return;
		}
		this.state = CallerState.EXCHANGE;
		this.headIncomplete = false;
		this.server.log().unidentifiedRequestEnded(outcome, error.status().code(), error.detail());
		sendError(error, "");
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

	// The head of the next request stays queued until the current exchange has ended.
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
			this.state = CallerState.EXCHANGE;
			setConnectionHeader(health);
			write(health);
			responseCompleted();
			return;
		}
		this.state = CallerState.ADMITTING;
		this.server.runWhenRulesCurrent(eventLoop(), () -> admit(head));
	}

	private void admit(HttpRequest head) {
		if (this.state == CallerState.CLOSED) {
			return;
		}
		this.state = CallerState.EXCHANGE;
		RequestParser.Result result = this.server.checkRequest(head);
		if (result instanceof RequestParser.Result.Refused refused) {
			// After a malformed head the decoder may not find the next request.
			this.keepAlive &= refused.error().type().startsWith("not-run");
			refuse("refused", refused.error());
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
		if (last && this.state == CallerState.DISCARDING) {
			startNextRequest();
		}
	}

	// A response sent before the end of the request leaves unread body bytes in the
	// socket. Closing at once would reset the connection and could destroy the response,
	// so the rest of the body is read and discarded for at most LINGER_MS.
	private void responseCompleted() {
		this.exchange = null;
		if (this.bodyComplete) {
			startNextRequest();
			return;
		}
		this.keepAlive &= this.bodyDiscardable;
		this.state = CallerState.DISCARDING;
		long discardedRequest = this.requestCount;
		eventLoop().schedule(() -> {
			if (this.state == CallerState.DISCARDING && this.requestCount == discardedRequest) {
				channelContext().close();
			}
		}, LINGER_MS, TimeUnit.MILLISECONDS);
		readBody();
	}

	private void startNextRequest() {
		recordProgress();
		if (!this.keepAlive || this.draining) {
			this.state = CallerState.CLOSED;
			writer().closeAfterWrites();
			return;
		}
		this.state = CallerState.IDLE;
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
		return Objects.requireNonNull(this.writer);
	}

	private void requestRead() {
		Objects.requireNonNull(this.reads).request();
	}

	private void recordProgress() {
		this.lastProgressNanos = this.server.now();
	}

	private void scheduleTimeoutCheck() {
		eventLoop().schedule(() -> {
			if (this.state != CallerState.CLOSED) {
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
			refuse("refused",
					ErrorResponse.badRequest(HttpResponseStatus.REQUEST_TIMEOUT, "the head did not arrive in time"));
		}
		else if (this.state == CallerState.IDLE && silentNanos > this.server.idleTimeoutNanos()) {
			channelContext().close();
		}
		else if (this.state == CallerState.EXCHANGE && !this.bodyComplete && !writeBlocked
				&& silentNanos > this.server.readTimeoutNanos() && this.pipelined.isEmpty()
				&& Objects.requireNonNull(this.reads).isPending()) {
			Exchange openExchange = this.exchange;
			this.keepAlive = false;
			if (openExchange != null) {
				openExchange.rejectBody(ErrorResponse.badRequest(HttpResponseStatus.REQUEST_TIMEOUT,
						"the body did not arrive in time"));
			}
		}
	}

	private ChannelHandlerContext channelContext() {
		return Objects.requireNonNull(this.channelContext);
	}

}
