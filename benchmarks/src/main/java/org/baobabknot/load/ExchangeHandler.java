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
 * Sends one request at a time on a connection and collects its response.
 */
final class ExchangeHandler extends SimpleChannelInboundHandler<HttpObject> {

	private ByteArrayOutputStream body = new ByteArrayOutputStream();

	private HttpHeaders headers = new DefaultHttpHeaders();

	private int status;

	private int parts;

	private long firstByteNanos;

	private boolean keepAlive;

	private @Nullable ExchangeListener listener;

	private @Nullable ScheduledFuture<?> timeout;

	static LoadResponse notConnected(String failure) {
		return new LoadResponse(0, new DefaultHttpHeaders(), new byte[0], false, false, 0, System.nanoTime(), 0,
				failure);
	}

	void begin(Channel channel, InetSocketAddress address, LoadRequest request, long timeoutMillis,
			ExchangeListener listener) {
		this.body = new ByteArrayOutputStream();
		this.headers = new DefaultHttpHeaders();
		this.status = 0;
		this.parts = 0;
		this.firstByteNanos = 0;
		this.listener = listener;
		if (!channel.isActive()) {
			end(notConnected("kept connection was closed"), false);
			return;
		}
		this.timeout = channel.eventLoop()
			.schedule(() -> end(newResponse(false, "time-out"), false), timeoutMillis, TimeUnit.MILLISECONDS);
		channel.writeAndFlush(toHttpRequest(address, request));
	}

	private static FullHttpRequest toHttpRequest(InetSocketAddress address, LoadRequest request) {
		FullHttpRequest httpRequest = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
				HttpMethod.valueOf(request.method()), request.path(), Unpooled.wrappedBuffer(request.body()));
		httpRequest.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
		for (Map.Entry<String, String> header : request.headers().entrySet()) {
			httpRequest.headers().set(header.getKey(), header.getValue());
		}
		httpRequest.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
		return httpRequest;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, HttpObject message) throws IOException {
		if (message.decoderResult().isFailure()) {
			end(newResponse(false, String.valueOf(message.decoderResult().cause())), false);
			return;
		}
		if (message instanceof HttpResponse response) {
			this.status = response.status().code();
			this.headers = response.headers();
			this.keepAlive = HttpUtil.isKeepAlive(response);
		}
		if (message instanceof HttpContent content) {
			appendBody(content.content());
		}
		if (message instanceof LastHttpContent && this.status >= 200) {
			end(newResponse(true, null), this.keepAlive);
		}
	}

	private void appendBody(ByteBuf content) throws IOException {
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
		end(newResponse(false, "connection closed"), false);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		end(newResponse(false, String.valueOf(cause)), false);
	}

	private LoadResponse newResponse(boolean complete, @Nullable String failure) {
		return new LoadResponse(this.status, this.headers, this.body.toByteArray(), complete, true, this.firstByteNanos,
				System.nanoTime(), this.parts, failure);
	}

	private void end(LoadResponse response, boolean reusable) {
		if (this.timeout != null) {
			this.timeout.cancel(false);
			this.timeout = null;
		}
		ExchangeListener notifiedListener = this.listener;
		this.listener = null;
		if (notifiedListener != null) {
			notifiedListener.onCompleted(response, reusable);
		}
	}

	/**
	 * Receives the response of an exchange.
	 */
	@FunctionalInterface
	interface ExchangeListener {

		/**
		 * Called once at the end of an exchange.
		 * @param response the response
		 * @param reusable whether the connection can carry another exchange
		 */
		void onCompleted(LoadResponse response, boolean reusable);

	}

}
