package org.baobabknot.gateway;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import org.baobabknot.fleet.CallerLimits;
import org.baobabknot.httpclient.HttpHeader;
import org.baobabknot.placement.RetryAfter;
import org.baobabknot.placement.ShutdownWindow;
import org.baobabknot.provider.PlatformHeaders;
import org.jspecify.annotations.Nullable;

/**
 * One HTTP connection of a caller, which runs one request at a time.
 */
final class GatewayConnection extends ChannelInboundHandlerAdapter {

	/** Delay between reading a request and starting it that indicates a stalled loop. */
	private static final long LOOP_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	/** Time in which the event loop reads all connections once. */
	private static final long READ_CYCLE_MS = 1;

	/** Time for a caller to read a response sent before the end of its request body. */
	private static final long LINGER_MS = 1_000;

	/** Value of SO_LINGER for a close that delivers what was written. */
	private static final int NO_LINGER = -1;

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final Gateway gateway;

	private final PipelinedMessages pipelined;

	private @Nullable ChannelHandlerContext channelContext;

	private @Nullable HttpRequest head;

	private @Nullable ByteBuf body;

	/** Memory that is reserved for the body of the open request. */
	private int reservedBodyBytes;

	private @Nullable GatewayRequest request;

	/** HTTP version of the open request. */
	private HttpVersion version = HttpVersion.HTTP_1_1;

	private boolean keepAlive = true;

	private boolean bodyIncomplete;

	private boolean discarding;

	private boolean closing;

	private boolean draining;

	private final long openedNanos = System.nanoTime();

	private long idleSinceNanos = this.openedNanos;

	private long headStartNanos;

	private boolean headIncomplete;

	private boolean flushScheduled;

	private boolean resetsOnClose;

	private long lastUnwrittenBytes = -1;

	/** What ended the connection, empty for a close by the caller. */
	private String endCause = "";

	/** Identity of the request whose response is written, empty if it has none. */
	private String lastRequestId = "";

	GatewayConnection(Gateway gateway) {
		this.gateway = gateway;
		this.pipelined = new PipelinedMessages(gateway.pipelineBudget());
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channelContext = context;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.gateway.connectionOpened(this);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.closing) {
			ReferenceCountUtil.release(message);
			return;
		}
		this.idleSinceNanos = System.nanoTime();
		if (this.request != null || !this.pipelined.isEmpty()) {
			if (!this.pipelined.add(message)) {
				context.channel().config().setAutoRead(false);
			}
			return;
		}
		handle(message);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.closing = true;
		this.gateway.connectionClosed(this);
		GatewayRequest openRequest = this.request;
		this.request = null;
		if (openRequest != null) {
			openRequest.callerDisconnected(this.endCause);
		}
		releaseBody();
		this.pipelined.clear();
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		GatewayRequest openRequest = this.request;
		if (openRequest != null) {
			openRequest.callerWritabilityChanged(context.channel().isWritable());
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (this.endCause.isEmpty()) {
			this.endCause = String.valueOf(cause);
		}
		// A reset by the caller is a normal end of a connection.
		if (!(cause instanceof IOException)) {
			logger.atSevere().withCause(cause).log("unexpected exception; closing the caller's connection");
		}
		context.close();
	}

	/**
	 * Starts the timeout of a request head, called for any received bytes.
	 */
	void bytesReceived() {
		if (this.request == null && this.head == null && !this.headIncomplete) {
			this.headIncomplete = true;
			this.headStartNanos = System.nanoTime();
		}
	}

	/**
	 * Closes the connection when it is idle for too long or a request head takes too
	 * long.
	 * @param limits limits in force
	 * @param nowNanos monotonic time
	 */
	void checkTimeouts(CallerLimits limits, long nowNanos) {
		if (this.closing) {
			closeIfUnread(limits, nowNanos);
			return;
		}
		if (this.request != null) {
			return;
		}
		long idleMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - this.idleSinceNanos);
		if (this.headIncomplete || this.head != null) {
			boolean headTimedOut = this.headIncomplete
					&& nowNanos - this.headStartNanos > TimeUnit.MILLISECONDS.toNanos(limits.headTimeoutMs());
			if (headTimedOut || idleMs > limits.idleTimeoutMs()) {
				this.keepAlive = false;
				reject(new ErrorResponse(HttpResponseStatus.REQUEST_TIMEOUT, "slow-request",
						"the request did not arrive in time", 0));
			}
		}
		else if (idleMs > limits.idleTimeoutMs()) {
			closeIfUnused();
		}
	}

	// A caller may read a response slowly, but not stop reading for longer than it may be
	// idle.
	private void closeIfUnread(CallerLimits limits, long nowNanos) {
		long unwritten = unwrittenBytes();
		if (unwritten != this.lastUnwrittenBytes) {
			this.lastUnwrittenBytes = unwritten;
			this.idleSinceNanos = nowNanos;
		}
		else if (TimeUnit.NANOSECONDS.toMillis(nowNanos - this.idleSinceNanos) > limits.idleTimeoutMs()) {
			close();
		}
	}

	// The pending bytes include a message as a whole until its last byte is written.
	private long unwrittenBytes() {
		ChannelOutboundBuffer outbound = channelContext().channel().unsafe().outboundBuffer();
		return (outbound != null) ? outbound.totalPendingWriteBytes() - outbound.currentProgress() : 0;
	}

	/**
	 * Closes the connection after the open request.
	 */
	void drain() {
		this.draining = true;
		if (isUnused()) {
			closeIfUnused();
		}
	}

	// A request that has arrived while the loop was busy is read first. One that crosses
	// the close is not read, so that its caller can send it again.
	private void closeIfUnused() {
		channelContext().executor().schedule(() -> {
			if (isUnused()) {
				if (unwrittenBytes() > 0) {
					closeAfterWrites();
				}
				else {
					close();
				}
			}
		}, READ_CYCLE_MS, TimeUnit.MILLISECONDS);
	}

	private boolean isUnused() {
		return this.request == null && this.head == null && this.pipelined.isEmpty() && !this.headIncomplete
				&& !this.closing && !this.discarding;
	}

	long openedNanos() {
		return this.openedNanos;
	}

	/**
	 * Ends the open request, or the one that is being received, because this process
	 * ends.
	 */
	void processEnding() {
		GatewayRequest openRequest = this.request;
		if (this.closing || this.discarding) {
			reportUnwritten();
			return;
		}
		if (openRequest != null) {
			openRequest.processEnding();
		}
		else if (this.head != null || this.headIncomplete) {
			this.keepAlive = false;
			reject(ErrorResponse.notRun("stopping", "this process ends before the request has arrived",
					this.gateway.retryAfterMs(RetryAfter.ELSEWHERE, 0, -1)));
		}
	}

	private void reportUnwritten() {
		long unwritten = unwrittenBytes();
		if (unwritten > 0) {
			this.gateway.responseCut(this.lastRequestId, unwritten);
		}
	}

	/**
	 * Tells whether a request is open or being received, or a response is not yet passed
	 * to the network, so that the end of this process would cut it off.
	 * @return false if the connection is idle
	 */
	boolean busy() {
		return !isUnused();
	}

	private void handle(Object message) {
		try {
			if (this.closing) {
				return;
			}
			if (message instanceof HttpRequest httpRequest) {
				start(httpRequest);
			}
			if (message instanceof HttpContent content) {
				handleContent(content);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void start(HttpRequest httpRequest) {
		this.headIncomplete = false;
		this.discarding = false;
		this.bodyIncomplete = true;
		this.head = httpRequest;
		this.lastRequestId = httpRequest.headers().get(PlatformHeaders.requestIdHeader(), "");
		this.keepAlive = httpRequest.decoderResult().isSuccess() && HttpUtil.isKeepAlive(httpRequest);
		if (httpRequest.method().equals(HttpMethod.CONNECT)) {
			this.keepAlive = false;
			reject(ErrorResponse.denied(HttpResponseStatus.METHOD_NOT_ALLOWED, "method-not-supported",
					"tunnels are not supported"));
			return;
		}
		if (!httpRequest.decoderResult().isSuccess()) {
			reject(malformedHead(httpRequest.decoderResult().cause()));
			return;
		}
		if (HttpUtil.getContentLength(httpRequest, 0L) > this.gateway.limits().maxBodyBytes()) {
			reject(bodyTooLong());
			return;
		}
		boolean refused = this.gateway.shutdownWindow()
			.filter((window) -> !window.servesConnection(this.openedNanos))
			.isPresent();
		if (refused) {
			// Requests that have arrived as a whole get a response each.
			channelContext().executor().execute(() -> refuseIncomplete(httpRequest));
			return;
		}
		if (HttpUtil.is100ContinueExpected(httpRequest)) {
			write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
	}

	private void refuseIncomplete(HttpRequest httpRequest) {
		if (this.head == httpRequest && !this.closing) {
			reject(ErrorResponse.notRun("stopping", ShutdownWindow.Arrival.TOO_LATE.refusal(),
					this.gateway.retryAfterMs(RetryAfter.ELSEWHERE, 0, -1)));
		}
	}

	private static ErrorResponse malformedHead(Throwable cause) {
		HttpResponseStatus status = (cause instanceof TooLongHttpHeaderException
				|| cause instanceof TooLongHttpLineException) ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
						: HttpResponseStatus.BAD_REQUEST;
		return ErrorResponse.denied(status, "malformed-request", String.valueOf(cause.getMessage()));
	}

	private ErrorResponse bodyTooLong() {
		return ErrorResponse.denied(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body-too-long",
				"more than " + this.gateway.limits().maxBodyBytes() + " bytes");
	}

	private void handleContent(HttpContent content) {
		HttpRequest httpRequest = this.head;
		boolean last = content instanceof LastHttpContent;
		if (last) {
			this.bodyIncomplete = false;
		}
		if (this.discarding || httpRequest == null) {
			if (last && this.discarding) {
				closeAfterWrites();
			}
			return;
		}
		if (content.decoderResult().isFailure()) {
			this.keepAlive = false;
			reject(ErrorResponse.denied(HttpResponseStatus.BAD_REQUEST, "malformed-body",
					"the body is not valid HTTP"));
			return;
		}
		ByteBuf buffered = this.body;
		int length = content.content().readableBytes() + ((buffered != null) ? buffered.readableBytes() : 0);
		if (length > this.gateway.limits().maxBodyBytes()) {
			reject(bodyTooLong());
			return;
		}
		if (!this.gateway.bodyBudget().tryGrow(this.reservedBodyBytes, content.content().readableBytes())) {
			reject(ErrorResponse.notRun("no-room", "other requests use the memory for bodies",
					this.gateway.retryAfterMs(RetryAfter.ELSEWHERE, 0, -1)));
			return;
		}
		this.reservedBodyBytes += content.content().readableBytes();
		if (content.content().isReadable()) {
			if (buffered == null) {
				buffered = Unpooled.buffer(content.content().readableBytes());
				this.body = buffered;
			}
			buffered.writeBytes(content.content());
		}
		if (last) {
			byte[] bodyBytes = new byte[length];
			if (buffered != null) {
				buffered.readBytes(bodyBytes);
			}
			releaseBuffer();
			this.head = null;
			this.version = httpRequest.protocolVersion();
			this.request = this.gateway.createRequest(this, httpRequest, bodyBytes);
			GatewayRequest openRequest = this.request;
			long readNanos = System.nanoTime();
			channelContext().executor().execute(() -> start(openRequest, readNanos));
		}
	}

	// A close right after the request is reported after the current read, and a close
	// during a stall within one more read cycle, so the start waits for both.
	private void start(GatewayRequest openRequest, long readNanos) {
		if (openRequest != this.request || !channelContext().channel().isActive()) {
			return;
		}
		if (System.nanoTime() - readNanos > LOOP_STALL_NANOS) {
			channelContext().executor()
				.schedule(() -> start(openRequest, System.nanoTime()), READ_CYCLE_MS, TimeUnit.MILLISECONDS);
			return;
		}
		openRequest.start();
	}

	private void releaseBody() {
		releaseBuffer();
		this.gateway.bodyBudget().release(this.reservedBodyBytes);
		this.reservedBodyBytes = 0;
	}

	// The request holds a copy, for which the memory stays reserved.
	private void releaseBuffer() {
		ByteBuf buffered = this.body;
		this.body = null;
		if (buffered != null) {
			buffered.release();
		}
	}

	// Rejects a request that has not arrived as a whole.
	private void reject(ErrorResponse error) {
		String requestId = (this.head != null) ? this.lastRequestId : "";
		this.gateway.requestRejected(requestId, error);
		sendError(error, requestId);
	}

	/**
	 * Sends an error response as problem details.
	 * @param error the error
	 * @param requestId identity of the request, empty if it has none
	 */
	void sendError(ErrorResponse error, String requestId) {
		ObjectNode problem = JsonNodeFactory.instance.objectNode();
		problem.put("type", "urn:baobabknot:" + ((error.notRun()) ? "not-run:" : "failed:") + error.reason());
		problem.put("title", error.reason().replace('-', ' '));
		problem.put("status", error.status().code());
		problem.put("detail", error.detail());
		byte[] bytes = problem.toString().getBytes(StandardCharsets.UTF_8);
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, error.status(),
				Unpooled.wrappedBuffer(bytes));
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json");
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
		if (!requestId.isEmpty()) {
			response.headers().set(PlatformHeaders.requestIdHeader(), requestId);
		}
		if (error.retryAfterMs() > 0) {
			response.headers()
				.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", error.retryAfterMs() / 1_000.0));
		}
		if (this.bodyIncomplete) {
			this.keepAlive = false;
		}
		setConnectionHeader(response);
		write(response);
		responseCompleted();
	}

	/**
	 * Sends a complete response.
	 * @param status status code
	 * @param headers headers for the caller
	 * @param bytes body
	 */
	void sendResponse(int status, List<HttpHeader> headers, byte[] bytes) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(bytes));
		headers.forEach((header) -> response.headers().add(header.name(), header.value()));
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
		setConnectionHeader(response);
		write(response);
		responseCompleted();
	}

	/**
	 * Starts a streamed response.
	 * @param status status code
	 * @param headers headers for the caller
	 */
	void startStream(int status, List<HttpHeader> headers) {
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
		headers.forEach((header) -> response.headers().add(header.name(), header.value()));
		if (callerReadsChunks()) {
			HttpUtil.setTransferEncodingChunked(response, true);
		}
		else {
			this.keepAlive = false;
			resetOnClose();
		}
		setConnectionHeader(response);
		write(response);
	}

	// Callers of HTTP/1.0 take the end of the connection for the end of the response.
	private boolean callerReadsChunks() {
		return this.version.compareTo(HttpVersion.HTTP_1_1) >= 0;
	}

	/**
	 * Sends a part of a streamed response.
	 * @param data the bytes, which are released
	 */
	void sendStreamData(ByteBuf data) {
		write(new DefaultHttpContent(data));
	}

	/**
	 * Completes a streamed response.
	 */
	void endStream() {
		write(LastHttpContent.EMPTY_LAST_CONTENT);
		responseCompleted();
	}

	/**
	 * Marks a streamed response incomplete by closing the connection without a last
	 * chunk, or by a reset where the caller does not read chunks.
	 */
	void abort() {
		this.request = null;
		close();
	}

	// A response that ends with its connection looks complete when the connection is
	// closed. Until it is, every close has to be a reset, also the one by the kernel when
	// this process is killed.
	private void resetOnClose() {
		Channel channel = channelContext().channel();
		// Setting an option of a closed channel fails.
		if (channel.isActive()) {
			this.resetsOnClose = true;
			channel.config().setOption(ChannelOption.SO_LINGER, 0);
		}
	}

	private void responseCompleted() {
		this.request = null;
		this.head = null;
		this.headIncomplete = false;
		releaseBody();
		this.idleSinceNanos = System.nanoTime();
		if (this.bodyIncomplete) {
			linger();
			return;
		}
		if (!this.keepAlive || (this.draining && this.pipelined.isEmpty())) {
			closeAfterWrites();
			return;
		}
		channelContext().channel().eventLoop().execute(this::handlePipelined);
	}

	// Closing with unread bytes resets the connection and may destroy the response.
	private void linger() {
		this.discarding = true;
		ChannelHandlerContext context = channelContext();
		context.flush();
		context.channel().eventLoop().schedule(this::close, LINGER_MS, TimeUnit.MILLISECONDS);
	}

	private void handlePipelined() {
		while (this.request == null && !this.closing && !this.pipelined.isEmpty()) {
			handle(this.pipelined.remove());
		}
		if (this.pipelined.isEmpty() && !this.closing) {
			channelContext().channel().config().setAutoRead(true);
		}
	}

	private void setConnectionHeader(HttpResponse response) {
		// A request that was read after this one still gets a response here.
		if ((this.draining || this.gateway.draining()) && this.pipelined.isEmpty()) {
			this.keepAlive = false;
		}
		if (!this.keepAlive) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
	}

	private void write(Object message) {
		ChannelHandlerContext context = channelContext();
		context.write(message, context.voidPromise());
		if (!this.flushScheduled) {
			this.flushScheduled = true;
			context.executor().execute(() -> {
				this.flushScheduled = false;
				context.flush();
			});
		}
	}

	private void close() {
		this.closing = true;
		channelContext().close();
	}

	// Bytes of the caller that arrive after a close reset the connection and may destroy
	// the end of the response, so they are read until the caller closes too.
	private void closeAfterWrites() {
		this.closing = true;
		channelContext().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((ChannelFutureListener) (written) -> {
			if (!written.isSuccess() || !(written.channel() instanceof DuplexChannel channel)) {
				written.channel().close();
				return;
			}
			if (this.resetsOnClose && channel.isActive()) {
				channel.config().setOption(ChannelOption.SO_LINGER, NO_LINGER);
			}
			channel.config().setAutoRead(true);
			channel.shutdownOutput();
			channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
		});
	}

	private ChannelHandlerContext channelContext() {
		return Objects.requireNonNull(this.channelContext, "not added to a pipeline");
	}

}
