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
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
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
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import org.baobabknot.fleet.CallerLimits;
import org.baobabknot.httpclient.HttpHeader;
import org.baobabknot.provider.RequestDialect;
import org.jspecify.annotations.Nullable;

/**
 * One connection of a caller, which carries one request at a time.
 */
final class GatewayConnection extends ChannelInboundHandlerAdapter {

	/** Time from reading a request to its start that shows a stall of this process. */
	private static final long STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	/** Time in which the event loop reads all connections once, in ms. */
	private static final long READ_PAUSE_MS = 1;

	/** Time for a caller to read an answer that came before the end of its body. */
	private static final long LINGER_MS = 1_000;

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final Gateway gateway;

	private final AheadMessages ahead;

	private @Nullable ChannelHandlerContext context;

	private @Nullable HttpRequest head;

	private @Nullable ByteBuf body;

	private @Nullable GatewayRequest request;

	private boolean keepAlive = true;

	private boolean bodyOpen;

	private boolean discarding;

	private boolean closing;

	private boolean draining;

	private long quietSinceNanos = System.nanoTime();

	private long headSinceNanos;

	private boolean partOfHead;

	private boolean flushing;

	GatewayConnection(Gateway gateway) {
		this.gateway = gateway;
		this.ahead = new AheadMessages(gateway.aheadMemory());
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
	}

	@Override
	public void channelActive(ChannelHandlerContext active) {
		this.gateway.opened(this);
	}

	@Override
	public void channelRead(ChannelHandlerContext from, Object message) {
		this.quietSinceNanos = System.nanoTime();
		if (this.request != null || !this.ahead.isEmpty()) {
			if (!this.ahead.add(message)) {
				from.channel().config().setAutoRead(false);
			}
			return;
		}
		handle(message);
	}

	@Override
	public void channelInactive(ChannelHandlerContext from) {
		this.closing = true;
		this.gateway.closed(this);
		GatewayRequest open = this.request;
		this.request = null;
		if (open != null) {
			open.callerGone();
		}
		releaseBody();
		this.ahead.clear();
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext from) {
		GatewayRequest open = this.request;
		if (open != null) {
			open.callerWritable(from.channel().isWritable());
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext from, Throwable cause) {
		// A reset by the caller is an ordinary end of a connection.
		if (!(cause instanceof IOException)) {
			logger.atSevere().withCause(cause).log("closing the connection of a caller");
		}
		from.close();
	}

	/**
	 * Bytes arrived that may be a part of a head.
	 */
	void bytesArrived() {
		if (this.request == null && this.head == null && !this.partOfHead) {
			this.partOfHead = true;
			this.headSinceNanos = System.nanoTime();
		}
	}

	/**
	 * Closes the connection when it has been idle for too long or its head takes too
	 * long.
	 * @param limits limits in force
	 * @param nowNanos monotonic time
	 */
	void check(CallerLimits limits, long nowNanos) {
		if (this.closing || this.request != null) {
			return;
		}
		long quietMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - this.quietSinceNanos);
		if (this.partOfHead || this.head != null) {
			boolean slowHead = this.partOfHead
					&& nowNanos - this.headSinceNanos > TimeUnit.MILLISECONDS.toNanos(limits.headTimeoutMs());
			if (slowHead || quietMs > limits.idleTimeoutMs()) {
				this.keepAlive = false;
				reject(new Rejection(HttpResponseStatus.REQUEST_TIMEOUT, "slow-request",
						"the request did not arrive in time", 0), "");
			}
		}
		else if (quietMs > limits.idleTimeoutMs()) {
			close();
		}
	}

	/**
	 * Stops using the connection after the open request.
	 */
	void drain() {
		this.draining = true;
		if (this.request == null && this.head == null && this.ahead.isEmpty() && !this.partOfHead) {
			close();
		}
	}

	/**
	 * Tells whether a request is open or arriving.
	 * @return true unless the connection is idle
	 */
	boolean busy() {
		return this.request != null || this.head != null;
	}

	private void handle(Object message) {
		try {
			if (this.closing) {
				return;
			}
			if (message instanceof HttpRequest first) {
				start(first);
			}
			if (message instanceof HttpContent content) {
				content(content);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void start(HttpRequest first) {
		this.partOfHead = false;
		this.discarding = false;
		this.bodyOpen = true;
		this.head = first;
		this.keepAlive = first.decoderResult().isSuccess() && HttpUtil.isKeepAlive(first);
		if (!first.decoderResult().isSuccess()) {
			reject(malformed(first.decoderResult().cause()), "");
			return;
		}
		if (HttpUtil.getContentLength(first, 0L) > this.gateway.limits().maxBodyBytes()) {
			reject(tooLong(), RequestDialect.caller(first).requestId());
			return;
		}
		if (HttpUtil.is100ContinueExpected(first)) {
			write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
	}

	private static Rejection malformed(Throwable cause) {
		HttpResponseStatus status = (cause instanceof TooLongHttpHeaderException
				|| cause instanceof TooLongHttpLineException) ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
						: HttpResponseStatus.BAD_REQUEST;
		return Rejection.denied(status, "malformed-request", String.valueOf(cause.getMessage()));
	}

	private Rejection tooLong() {
		return Rejection.denied(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body-too-long",
				"more than " + this.gateway.limits().maxBodyBytes() + " bytes");
	}

	private void content(HttpContent content) {
		HttpRequest first = this.head;
		boolean last = content instanceof LastHttpContent;
		if (last) {
			this.bodyOpen = false;
		}
		if (this.discarding || first == null) {
			if (last && this.discarding) {
				close();
			}
			return;
		}
		if (content.decoderResult().isFailure()) {
			this.keepAlive = false;
			reject(Rejection.denied(HttpResponseStatus.BAD_REQUEST, "malformed-body", "the body is not valid HTTP"),
					"");
			return;
		}
		ByteBuf kept = this.body;
		int length = content.content().readableBytes() + ((kept != null) ? kept.readableBytes() : 0);
		if (length > this.gateway.limits().maxBodyBytes()) {
			reject(tooLong(), RequestDialect.caller(first).requestId());
			return;
		}
		if (content.content().isReadable()) {
			if (kept == null) {
				kept = Unpooled.buffer(content.content().readableBytes());
				this.body = kept;
			}
			kept.writeBytes(content.content());
		}
		if (last) {
			byte[] whole = new byte[length];
			if (kept != null) {
				kept.readBytes(whole);
			}
			releaseBody();
			this.head = null;
			this.request = this.gateway.open(this, first, whole);
			GatewayRequest open = this.request;
			long readNanos = System.nanoTime();
			context().executor().execute(() -> start(open, readNanos));
		}
	}

	// A close that was read right behind the request shows only after the read, and one
	// that came during a stall is read before the request is sent on.
	private void start(GatewayRequest open, long readNanos) {
		if (open != this.request || !context().channel().isActive()) {
			return;
		}
		if (System.nanoTime() - readNanos > STALL_NANOS) {
			context().executor().schedule(() -> start(open, System.nanoTime()), READ_PAUSE_MS, TimeUnit.MILLISECONDS);
			return;
		}
		open.start();
	}

	private void releaseBody() {
		ByteBuf kept = this.body;
		this.body = null;
		if (kept != null) {
			kept.release();
		}
	}

	/**
	 * Answers with a rejection.
	 * @param rejection the rejection
	 * @param requestId identity of the request, empty if it has none
	 */
	void reject(Rejection rejection, String requestId) {
		ObjectNode problem = JsonNodeFactory.instance.objectNode();
		problem.put("type", "urn:baobabknot:" + ((rejection.notRun()) ? "not-run:" : "failed:") + rejection.reason());
		problem.put("title", rejection.reason().replace('-', ' '));
		problem.put("status", rejection.status().code());
		problem.put("detail", rejection.detail());
		byte[] bytes = problem.toString().getBytes(StandardCharsets.UTF_8);
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, rejection.status(),
				Unpooled.wrappedBuffer(bytes));
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json");
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
		if (!requestId.isEmpty()) {
			response.headers().set(RequestDialect.requestIdHeader(), requestId);
		}
		if (rejection.retryAfterMs() > 0) {
			response.headers()
				.set(HttpHeaderNames.RETRY_AFTER,
						String.format(Locale.ROOT, "%.3f", rejection.retryAfterMs() / 1_000.0));
		}
		if (this.bodyOpen) {
			this.keepAlive = false;
		}
		prepare(response);
		write(response);
		answered();
	}

	/**
	 * Answers with a whole answer of a target.
	 * @param status status
	 * @param headers headers for the caller
	 * @param bytes body
	 */
	void answer(int status, List<HttpHeader> headers, byte[] bytes) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(bytes));
		headers.forEach((header) -> response.headers().add(header.name(), header.value()));
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
		prepare(response);
		write(response);
		answered();
	}

	/**
	 * Starts a streamed answer.
	 * @param status status
	 * @param headers headers for the caller
	 */
	void startStream(int status, List<HttpHeader> headers) {
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
		headers.forEach((header) -> response.headers().add(header.name(), header.value()));
		HttpUtil.setTransferEncodingChunked(response, true);
		prepare(response);
		write(response);
	}

	/**
	 * Writes a part of a streamed answer.
	 * @param part the bytes, which are released
	 */
	void stream(ByteBuf part) {
		write(new DefaultHttpContent(part));
	}

	/**
	 * Ends a whole streamed answer.
	 */
	void endStream() {
		write(LastHttpContent.EMPTY_LAST_CONTENT);
		answered();
	}

	/**
	 * Ends an answer that is not whole, which the caller sees by the missing last chunk.
	 */
	void abort() {
		this.request = null;
		close();
	}

	private void answered() {
		this.request = null;
		this.head = null;
		this.partOfHead = false;
		releaseBody();
		this.quietSinceNanos = System.nanoTime();
		if (this.bodyOpen) {
			linger();
			return;
		}
		if (!this.keepAlive || this.draining) {
			closeAfterWrites();
			return;
		}
		context().channel().eventLoop().execute(this::next);
	}

	// Closing with unread bytes would reset the connection and could destroy the answer.
	private void linger() {
		this.discarding = true;
		ChannelHandlerContext to = context();
		to.flush();
		to.channel().eventLoop().schedule(this::close, LINGER_MS, TimeUnit.MILLISECONDS);
	}

	private void next() {
		while (this.request == null && !this.closing && !this.ahead.isEmpty()) {
			handle(this.ahead.remove());
		}
		if (this.ahead.isEmpty() && !this.closing) {
			context().channel().config().setAutoRead(true);
		}
	}

	private void prepare(HttpResponse response) {
		if (this.draining || this.gateway.draining()) {
			this.keepAlive = false;
		}
		if (!this.keepAlive) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
	}

	private void write(Object message) {
		ChannelHandlerContext to = context();
		to.write(message, to.voidPromise());
		if (!this.flushing) {
			this.flushing = true;
			to.executor().execute(() -> {
				this.flushing = false;
				to.flush();
			});
		}
	}

	private void close() {
		this.closing = true;
		context().close();
	}

	private void closeAfterWrites() {
		this.closing = true;
		context().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
	}

	private ChannelHandlerContext context() {
		return Objects.requireNonNull(this.context, "not in a pipeline");
	}

}
