package org.baobabknot.load;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * Collects the answer of one exchange at a time on a connection.
 */
final class ExchangeHandler extends SimpleChannelInboundHandler<HttpObject> {

	private ByteArrayOutputStream body = new ByteArrayOutputStream();

	private HttpHeaders headers = new DefaultHttpHeaders();

	private int status;

	private int parts;

	private long firstByteNanos;

	private boolean keepAlive;

	private @Nullable Completion completion;

	private @Nullable ScheduledFuture<?> timeout;

	static Answer notConnected(String failure) {
		return new Answer(0, new DefaultHttpHeaders(), new byte[0], false, false, 0, System.nanoTime(), 0, failure);
	}

	void begin(Channel channel, InetSocketAddress address, LoadRequest request, long timeoutMillis, Completion done) {
		this.body = new ByteArrayOutputStream();
		this.headers = new DefaultHttpHeaders();
		this.status = 0;
		this.parts = 0;
		this.firstByteNanos = 0;
		this.completion = done;
		if (!channel.isActive()) {
			end(notConnected("kept connection was closed"), false);
			return;
		}
		this.timeout = channel.eventLoop()
			.schedule(() -> end(answer(false, "time-out"), false), timeoutMillis, TimeUnit.MILLISECONDS);
		channel.writeAndFlush(message(address, request));
	}

	private static FullHttpRequest message(InetSocketAddress address, LoadRequest request) {
		FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method()),
				request.path(), Unpooled.wrappedBuffer(request.body()));
		message.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
		for (Map.Entry<String, String> header : request.headers().entrySet()) {
			message.headers().set(header.getKey(), header.getValue());
		}
		message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
		return message;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, HttpObject message) throws IOException {
		if (message.decoderResult().isFailure()) {
			end(answer(false, String.valueOf(message.decoderResult().cause())), false);
			return;
		}
		if (message instanceof HttpResponse response) {
			this.status = response.status().code();
			this.headers = response.headers();
			this.keepAlive = HttpUtil.isKeepAlive(response);
		}
		if (message instanceof HttpContent content) {
			collect(content.content());
		}
		if (message instanceof LastHttpContent && this.status >= 200) {
			end(answer(true, null), this.keepAlive);
		}
	}

	private void collect(ByteBuf content) throws IOException {
		if (!content.isReadable()) {
			return;
		}
		if (this.firstByteNanos == 0) {
			this.firstByteNanos = System.nanoTime();
		}
		this.parts++;
		content.readBytes(this.body, content.readableBytes());
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		end(answer(false, "connection closed"), false);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		end(answer(false, String.valueOf(cause)), false);
	}

	private Answer answer(boolean whole, @Nullable String failure) {
		return new Answer(this.status, this.headers, this.body.toByteArray(), whole, true, this.firstByteNanos,
				System.nanoTime(), this.parts, failure);
	}

	private void end(Answer answer, boolean reusable) {
		if (this.timeout != null) {
			this.timeout.cancel(false);
			this.timeout = null;
		}
		Completion waiting = this.completion;
		this.completion = null;
		if (waiting != null) {
			waiting.completed(answer, reusable);
		}
	}

	/**
	 * Receives the answer of an exchange.
	 */
	@FunctionalInterface
	interface Completion {

		/**
		 * Called once at the end of an exchange.
		 * @param answer the answer
		 * @param reusable whether the connection can carry another exchange
		 */
		void completed(Answer answer, boolean reusable);

	}

}
