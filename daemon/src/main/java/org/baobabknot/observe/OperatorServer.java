package org.baobabknot.observe;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.jspecify.annotations.Nullable;

/**
 * HTTP server for {@code /healthz}, {@code /readyz} and {@code /metrics}.
 */
public final class OperatorServer {

	private static final int MAX_REQUEST_BYTES = 8 << 10;

	private static final int IDLE_TIMEOUT_SECONDS = 60;

	private final EventLoopGroup group;

	private final PrometheusRegistry metrics;

	private final BooleanSupplier readiness;

	private volatile @Nullable Channel serverChannel;

	/**
	 * Creates a server that is not bound.
	 * @param group event loop group, an NIO group
	 * @param metrics metrics served at {@code /metrics}
	 * @param ready returns whether {@code /readyz} reports success
	 */
	public OperatorServer(EventLoopGroup group, PrometheusRegistry metrics, BooleanSupplier ready) {
		this.group = group;
		this.metrics = metrics;
		this.readiness = ready;
	}

	/**
	 * Binds the server.
	 * @param host local address
	 * @param port local port
	 * @return completed with the bound address
	 */
	public CompletableFuture<InetSocketAddress> bind(String host, int port) {
		CompletableFuture<InetSocketAddress> bound = new CompletableFuture<>();
		ChannelFuture binding = new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.childHandler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(new ReadTimeoutHandler(IDLE_TIMEOUT_SECONDS), new HttpServerCodec(),
								new HttpObjectAggregator(MAX_REQUEST_BYTES), new RequestHandler());
				}
			})
			.bind(host, port);
		binding.addListener((future) -> {
			if (future.isSuccess()) {
				this.serverChannel = binding.channel();
				bound.complete((InetSocketAddress) binding.channel().localAddress());
			}
			else {
				bound.completeExceptionally(future.cause());
			}
		});
		return bound;
	}

	/**
	 * Closes the server port.
	 */
	public void close() {
		Channel channel = this.serverChannel;
		if (channel != null) {
			channel.close();
		}
	}

	private FullHttpResponse respond(FullHttpRequest request) {
		if (request.decoderResult().isFailure()) {
			return textResponse(HttpResponseStatus.BAD_REQUEST, "malformed request\n");
		}
		if (!request.method().equals(HttpMethod.GET)) {
			return textResponse(HttpResponseStatus.METHOD_NOT_ALLOWED, "only GET is allowed\n");
		}
		return switch (request.uri()) {
			case "/healthz" -> textResponse(HttpResponseStatus.OK, "ok\n");
			case "/readyz" -> (this.readiness.getAsBoolean()) ? textResponse(HttpResponseStatus.OK, "ready\n")
					: textResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready\n");
			case "/metrics" -> metrics();
			default -> textResponse(HttpResponseStatus.NOT_FOUND, "expected /healthz, /readyz or /metrics\n");
		};
	}

	private FullHttpResponse metrics() {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try {
			PrometheusTextFormatWriter.create().write(bytes, this.metrics.scrape());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return response(HttpResponseStatus.OK, PrometheusTextFormatWriter.CONTENT_TYPE, bytes.toByteArray());
	}

	private static FullHttpResponse textResponse(HttpResponseStatus status, String body) {
		return response(status, "text/plain; charset=utf-8", body.getBytes(StandardCharsets.UTF_8));
	}

	private static FullHttpResponse response(HttpResponseStatus status, String type, byte[] body) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
				Unpooled.wrappedBuffer(body));
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, type).set(HttpHeaderNames.CONTENT_LENGTH, body.length);
		return response;
	}

	/**
	 * Responds to the requests of one connection in their order.
	 */
	private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
			FullHttpResponse response = respond(request);
			if (HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess()) {
				context.writeAndFlush(response);
			}
			else {
				HttpUtil.setKeepAlive(response, false);
				context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
