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
final class CallerHandler extends ChannelInboundHandlerAdapter implements Caller {

	// Time for a caller to read an early answer while its body is being discarded.
	private static final long LINGER_MS = 2_000;

	// A rest of a body up to this size is read and dropped to keep the connection.
	private static final long DISCARDED_BYTES = 64 << 10;

	private final CallerServer server;

	private final ArrayDeque<Object> waiting = new ArrayDeque<>();

	private @Nullable ChannelHandlerContext context;

	private @Nullable CallerWriter writer;

	private @Nullable Exchange exchange;

	private State state = State.IDLE;

	private long bodyBytes;

	private long progressNanos;

	private long headSinceNanos;

	private boolean partOfHead;

	private boolean smallBody;

	private long requests;

	private boolean requestEnded = true;

	private boolean keepAlive = true;

	private boolean reading;

	/** Asked for during a read, to be done after it. */
	private boolean wanted;

	private boolean draining;

	private boolean processing;

	CallerHandler(CallerServer server) {
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
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
		this.writer = new CallerWriter(added);
	}

	@Override
	public void channelActive(ChannelHandlerContext active) {
		progress();
		watch();
		read();
	}

	@Override
	public void channelRead(ChannelHandlerContext from, Object message) {
		progress();
		this.waiting.add(message);
		process();
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext from) {
		this.reading = false;
		boolean again = this.wanted;
		this.wanted = false;
		// While an exchange is open one read stays pending, so that a caller that
		// disappears is noticed; what it delivers instead waits.
		if (again || this.state == State.IDLE || this.state == State.DISCARDING
				|| (this.requestEnded && this.waiting.isEmpty())) {
			read();
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext from) {
		if (from.channel().isWritable()) {
			progress();
			writer().writable();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext from) {
		this.state = State.CLOSED;
		Exchange open = this.exchange;
		if (open != null) {
			open.callerGone();
		}
		this.waiting.forEach(ReferenceCountUtil::release);
		this.waiting.clear();
		this.server.closed(this);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext from, Throwable cause) {
		from.close();
	}

	/**
	 * Bytes arrived, which may be a part of a head that is not complete. The time allowed
	 * for a head starts with its first byte, so that a caller cannot stretch it by
	 * sending byte after byte.
	 */
	void bytesArrived() {
		if (this.state == State.IDLE && !this.partOfHead) {
			this.partOfHead = true;
			this.headSinceNanos = this.server.now();
		}
	}

	/**
	 * Stops using the connection: it is closed now if it is idle, or after the answer.
	 */
	void drain() {
		eventLoop().execute(() -> {
			this.draining = true;
			if (this.state == State.IDLE && this.waiting.isEmpty()) {
				context().close();
			}
		});
	}

	@Override
	public EventLoop eventLoop() {
		return context().channel().eventLoop();
	}

	@Override
	public void readMore() {
		if (this.waiting.isEmpty()) {
			read();
		}
		else if (!this.processing) {
			process();
		}
	}

	@Override
	public void startAnswer(HttpResponse response) {
		prepare(response);
		write(response);
	}

	@Override
	public void writeBody(ByteString part, Runnable written) {
		writer().writeBody(part, written);
	}

	@Override
	public void endAnswer() {
		write(LastHttpContent.EMPTY_LAST_CONTENT);
		answered();
	}

	@Override
	public void abortAnswer() {
		this.state = State.CLOSED;
		context().close();
	}

	@Override
	public void answer(Problem problem, String requestId) {
		if (this.state == State.CLOSED) {
			return;
		}
		FullHttpResponse response = problem.response(requestId);
		this.keepAlive &= this.requestEnded || this.smallBody;
		if (!requestId.isEmpty()) {
			response.headers().set("X-Request-Id", requestId);
		}
		prepare(response);
		write(response);
		answered();
	}

	private void process() {
		if (this.processing) {
			return;
		}
		this.processing = true;
		try {
			while (!this.waiting.isEmpty() && accepts(this.waiting.peek())) {
				Object message = this.waiting.remove();
				try {
					handle(message);
				}
				finally {
					ReferenceCountUtil.release(message);
				}
			}
		}
		finally {
			this.processing = false;
		}
	}

	// A new head waits until the exchange before it has ended.
	private boolean accepts(Object message) {
		return switch (this.state) {
			case IDLE, DISCARDING -> true;
			case EXCHANGE -> !(message instanceof HttpRequest);
			case ADMITTING, CLOSED -> false;
		};
	}

	private void handle(Object message) {
		if (message instanceof HttpRequest head) {
			head(head);
		}
		else if (message instanceof HttpContent content) {
			content(content);
		}
	}

	private void head(HttpRequest head) {
		boolean valid = head.decoderResult().isSuccess();
		long length = (valid) ? HttpUtil.getContentLength(head, 0L) : 0;
		boolean chunked = HttpUtil.isTransferEncodingChunked(head);
		this.requestEnded = length == 0 && !chunked;
		this.smallBody = !chunked && length <= DISCARDED_BYTES && !HttpUtil.is100ContinueExpected(head);
		this.bodyBytes = 0;
		this.partOfHead = false;
		this.requests++;
		this.keepAlive = valid && HttpUtil.isKeepAlive(head);
		FullHttpResponse health = (valid) ? this.server.health(head.uri()) : null;
		if (health != null) {
			this.state = State.EXCHANGE;
			prepare(health);
			write(health);
			answered();
			return;
		}
		this.state = State.ADMITTING;
		this.server.admit(eventLoop(), () -> admit(head));
	}

	private void admit(HttpRequest head) {
		if (this.state == State.CLOSED) {
			return;
		}
		this.state = State.EXCHANGE;
		RequestParser.Result result = this.server.parse(head);
		if (result instanceof RequestParser.Result.Refused refused) {
			// The decoder may have lost its place after a malformed head.
			this.keepAlive &= refused.problem().type().startsWith("not-run");
			answer(refused.problem(), "");
			return;
		}
		CallerRequest request = ((RequestParser.Result.Accepted) result).request();
		if (HttpUtil.is100ContinueExpected(head)) {
			write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
		}
		this.exchange = this.server.open(this, request);
		readMore();
	}

	private void content(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		this.requestEnded |= last;
		Exchange open = this.exchange;
		if (open != null && !open.done()) {
			this.bodyBytes += content.content().readableBytes();
			if (content.decoderResult().isFailure()) {
				this.keepAlive = false;
				open.refuse(Problem.badRequest("malformed body"));
			}
			else if (this.bodyBytes > this.server.maxBodyBytes()) {
				open.refuse(this.server.oversized());
			}
			else {
				open.body(ByteString.copyFrom(content.content().nioBuffer()), last);
			}
		}
		if (last && this.state == State.DISCARDING) {
			next();
		}
	}

	// An answer before the end of the request leaves bytes of the body in the socket.
	// Closing at once would reset the connection and could destroy the answer, so the
	// rest is read and discarded for a while.
	private void answered() {
		this.exchange = null;
		if (this.requestEnded) {
			next();
			return;
		}
		this.keepAlive &= this.smallBody;
		this.state = State.DISCARDING;
		long request = this.requests;
		eventLoop().schedule(() -> {
			if (this.state == State.DISCARDING && this.requests == request) {
				context().close();
			}
		}, LINGER_MS, TimeUnit.MILLISECONDS);
		readMore();
	}

	private void next() {
		progress();
		if (!this.keepAlive || this.draining) {
			this.state = State.CLOSED;
			writer().closeAfterWrites();
			return;
		}
		this.state = State.IDLE;
		if (this.waiting.isEmpty()) {
			read();
		}
		else {
			eventLoop().execute(this::process);
		}
	}

	private void prepare(HttpResponse response) {
		if (this.draining || this.server.closing()) {
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
		CallerWriter open = this.writer;
		if (open == null) {
			throw new IllegalStateException("not in a pipeline");
		}
		return open;
	}

	private void read() {
		if (this.reading) {
			this.wanted = true;
			return;
		}
		this.reading = true;
		context().read();
	}

	private void progress() {
		this.progressNanos = this.server.now();
	}

	private void watch() {
		eventLoop().schedule(() -> {
			if (this.state != State.CLOSED) {
				check(this.server.now() - this.progressNanos);
				watch();
			}
		}, this.server.checkIntervalMs(), TimeUnit.MILLISECONDS);
	}

	private void check(long quietNanos) {
		boolean writing = !context().channel().isWritable();
		if (writing && quietNanos > this.server.writeTimeoutNanos()) {
			context().close();
		}
		else if (this.partOfHead && this.server.now() - this.headSinceNanos > this.server.readTimeoutNanos()) {
			this.keepAlive = false;
			this.state = State.EXCHANGE;
			this.partOfHead = false;
			answer(Problem.badRequest(HttpResponseStatus.REQUEST_TIMEOUT, "the head did not arrive in time"), "");
		}
		else if (this.state == State.IDLE && quietNanos > this.server.idleTimeoutNanos()) {
			context().close();
		}
		else if (this.state == State.EXCHANGE && !this.requestEnded && !writing
				&& quietNanos > this.server.readTimeoutNanos() && this.waiting.isEmpty()) {
			Exchange open = this.exchange;
			this.keepAlive = false;
			if (open != null) {
				open.refuse(Problem.badRequest(HttpResponseStatus.REQUEST_TIMEOUT, "the body did not arrive in time"));
			}
		}
	}

	private ChannelHandlerContext context() {
		ChannelHandlerContext added = this.context;
		if (added == null) {
			throw new IllegalStateException("not in a pipeline");
		}
		return added;
	}

}
