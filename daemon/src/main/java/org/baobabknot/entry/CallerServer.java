package org.baobabknot.entry;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import org.baobabknot.daemon.ProcessContext;
import org.baobabknot.protocol.generated.RefusalReason;
import org.baobabknot.settings.Settings;
import org.jspecify.annotations.Nullable;

/**
 * HTTP/1.1 server for callers.
 */
final class CallerServer {

	private static final int MAX_REQUEST_LINE_BYTES = 8 << 10;

	private static final int MAX_READ_BYTES = 64 << 10;

	// Bounds the response data that is buffered for a caller that reads slowly.
	private static final WriteBufferWaterMark WRITE_BUFFER_WATER_MARK = new WriteBufferWaterMark(64 << 10, 256 << 10);

	private static final long MAX_CHECK_INTERVAL_MS = 1_000;

	private final ProcessContext process;

	private final Settings.Http settings;

	private final RequestParser parser;

	private final RequestForwarder forwarder;

	private final EntryMetrics metrics;

	private final BooleanSupplier ready;

	private final Set<CallerConnection> openConnections = ConcurrentHashMap.newKeySet();

	private volatile boolean closeAnnounced;

	private volatile @Nullable Channel serverChannel;

	CallerServer(ProcessContext process, Settings.Http settings, RequestForwarder forwarder, EntryMetrics metrics,
			BooleanSupplier ready) {
		this.process = process;
		this.settings = settings;
		this.parser = new RequestParser(settings, process.settings().timeouts(), process.configuration());
		this.forwarder = forwarder;
		this.metrics = metrics;
		this.ready = ready;
	}

	CompletableFuture<InetSocketAddress> bind() {
		CompletableFuture<InetSocketAddress> boundAddress = new CompletableFuture<>();
		ChannelFuture bindFuture = new ServerBootstrap().group(this.process.group())
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, 4096)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.AUTO_READ, false)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_WATER_MARK)
			.childOption(ChannelOption.RECVBUF_ALLOCATOR,
					new AdaptiveRecvByteBufAllocator(512, 4096, MAX_READ_BYTES).maxMessagesPerRead(1))
			.childHandler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					acceptConnection(channel);
				}
			})
			.bind(this.settings.host(), this.settings.port());
		bindFuture.addListener((future) -> {
			if (future.isSuccess()) {
				this.serverChannel = bindFuture.channel();
				boundAddress.complete((InetSocketAddress) bindFuture.channel().localAddress());
			}
			else {
				boundAddress.completeExceptionally(future.cause());
			}
		});
		return boundAddress;
	}

	/**
	 * Sets {@code Connection: close} on all further responses, so that few connections
	 * are left when the listening socket closes.
	 */
	void announceClose() {
		this.closeAnnounced = true;
	}

	/**
	 * Closes the listening socket and idle connections. Connections with an open request
	 * are closed after its response, which announces this to the caller.
	 */
	void drain() {
		Channel openChannel = this.serverChannel;
		if (openChannel != null) {
			openChannel.close();
		}
		this.openConnections.forEach(CallerConnection::drain);
	}

	/**
	 * Ends the requests that are open at the end of the process.
	 * @return number of requests that were open and whose head had been accepted
	 */
	int endOpenRequests() {
		int openRequests = this.forwarder.openExchanges();
		this.forwarder.log().processEnding();
		this.openConnections.forEach(CallerConnection::processEnding);
		return openRequests;
	}

	RequestLog log() {
		return this.forwarder.log();
	}

	boolean closeAnnounced() {
		return this.closeAnnounced;
	}

	int connections() {
		return this.openConnections.size();
	}

	long now() {
		return this.process.nowNanos();
	}

	long maxBodyBytes() {
		return this.settings.maxBodyBytes();
	}

	ErrorResponse bodyTooLong() {
		return this.parser.bodyTooLong();
	}

	long readTimeoutNanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.settings.readTimeoutMs());
	}

	long writeTimeoutNanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.settings.writeTimeoutMs());
	}

	long idleTimeoutNanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.settings.idleTimeoutMs());
	}

	long checkIntervalMs() {
		return Math.max(10, Math.min(MAX_CHECK_INTERVAL_MS,
				Math.min(this.settings.readTimeoutMs(), this.settings.writeTimeoutMs()) / 4));
	}

	void connectionClosed(CallerConnection connection) {
		this.openConnections.remove(connection);
	}

	/**
	 * Runs a task on an event loop. If this process was paused, the task is delayed until
	 * its rules are known to be current.
	 * @param loop event loop of the caller
	 * @param task the task
	 */
	void runWhenRulesCurrent(EventLoop loop, Runnable task) {
		this.process.pauseGate().runWhenOpen(() -> {
			if (loop.inEventLoop()) {
				task.run();
			}
			else {
				loop.execute(task);
			}
		});
	}

	RequestParser.Result checkRequest(HttpRequest head) {
		if (this.forwarder.openExchanges() >= this.process.settings().limits().concurrentRequests()) {
			return new RequestParser.Result.Refused(
					ErrorResponse.notRun(RefusalReason.QUEUE_FULL, "too many requests are open at this entry", 0));
		}
		return this.parser.parse(head, now());
	}

	Exchange openExchange(CallerConnection caller, CallerRequest request) {
		return this.forwarder.open(caller, request);
	}

	/**
	 * Returns the response to a health check of the platform's balancer.
	 * @param path path of the request
	 * @return the response, {@code null} if the path belongs to a service
	 */
	@Nullable FullHttpResponse healthResponse(String path) {
		if (path.equals("/healthz")) {
			return textResponse(HttpResponseStatus.OK, "ok\n");
		}
		if (!path.equals("/readyz")) {
			return null;
		}
		return (this.ready.getAsBoolean()) ? textResponse(HttpResponseStatus.OK, "ready\n")
				: textResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready\n");
	}

	private void acceptConnection(Channel channel) {
		if (this.openConnections.size() >= this.settings.maxConnections()) {
			this.metrics.connectionRefused();
			channel.close();
			return;
		}
		this.metrics.connectionAccepted();
		CallerConnection connection = new CallerConnection(this);
		this.openConnections.add(connection);
		HttpDecoderConfig decoderConfig = new HttpDecoderConfig().setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
			.setMaxHeaderSize(this.settings.maxHeaderBytes())
			.setMaxChunkSize(MAX_READ_BYTES);
		channel.pipeline()
			.addLast(new ReceivedBytesHandler(connection), new HttpServerCodec(decoderConfig), connection);
	}

	private static FullHttpResponse textResponse(HttpResponseStatus status, String body) {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
				Unpooled.wrappedBuffer(bytes));
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
		return response;
	}

	/**
	 * Notifies the connection of received bytes before they are decoded.
	 */
	private static final class ReceivedBytesHandler extends ChannelInboundHandlerAdapter {

		private final CallerConnection connection;

		ReceivedBytesHandler(CallerConnection connection) {
			this.connection = connection;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			this.connection.bytesReceived();
			context.fireChannelRead(message);
		}

	}

}
