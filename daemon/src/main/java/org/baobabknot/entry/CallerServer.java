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

	private static final int LONGEST_LINE = 8 << 10;

	private static final int LARGEST_READ = 64 << 10;

	// At most this much of an answer waits in memory for a caller that reads slowly.
	private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(64 << 10, 256 << 10);

	private static final long LONGEST_CHECK_MS = 1_000;

	private final ProcessContext node;

	private final Settings.Http settings;

	private final RequestParser parser;

	private final Forwarding forwarding;

	private final EntryMetrics metrics;

	private final BooleanSupplier ready;

	private final Set<CallerHandler> callers = ConcurrentHashMap.newKeySet();

	private volatile boolean closing;

	private volatile @Nullable Channel server;

	CallerServer(ProcessContext node, Settings.Http settings, Forwarding forwarding, EntryMetrics metrics,
			BooleanSupplier ready) {
		this.node = node;
		this.settings = settings;
		this.parser = new RequestParser(settings, node.settings().timeouts(), node.configuration());
		this.forwarding = forwarding;
		this.metrics = metrics;
		this.ready = ready;
	}

	CompletableFuture<InetSocketAddress> bind() {
		CompletableFuture<InetSocketAddress> bound = new CompletableFuture<>();
		ChannelFuture binding = new ServerBootstrap().group(this.node.group())
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, 4096)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.AUTO_READ, false)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
			.childOption(ChannelOption.RECVBUF_ALLOCATOR,
					new AdaptiveRecvByteBufAllocator(512, 4096, LARGEST_READ).maxMessagesPerRead(1))
			.childHandler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					accept(channel);
				}
			})
			.bind(this.settings.host(), this.settings.port());
		binding.addListener((future) -> {
			if (future.isSuccess()) {
				this.server = binding.channel();
				bound.complete((InetSocketAddress) binding.channel().localAddress());
			}
			else {
				bound.completeExceptionally(future.cause());
			}
		});
		return bound;
	}

	/**
	 * Asks callers to close their connections after the next answer, so that few are left
	 * when the listener closes.
	 */
	void announceClose() {
		this.closing = true;
	}

	/**
	 * Stops listening, closes idle connections and tells the callers of open requests
	 * that their connections will be closed.
	 */
	void drain() {
		Channel channel = this.server;
		if (channel != null) {
			channel.close();
		}
		this.callers.forEach(CallerHandler::drain);
	}

	boolean closing() {
		return this.closing;
	}

	int connections() {
		return this.callers.size();
	}

	long now() {
		return this.node.nowNanos();
	}

	long maxBodyBytes() {
		return this.settings.maxBodyBytes();
	}

	Problem oversized() {
		return this.parser.oversized();
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
		return Math.max(10, Math.min(LONGEST_CHECK_MS,
				Math.min(this.settings.readTimeoutMs(), this.settings.writeTimeoutMs()) / 4));
	}

	void closed(CallerHandler caller) {
		this.callers.remove(caller);
	}

	/**
	 * Runs a task on a loop, after a pause of this process only when its rules are known
	 * to be current.
	 * @param loop loop of the caller
	 * @param task the task
	 */
	void admit(EventLoop loop, Runnable task) {
		this.node.pauseGate().runWhenOpen(() -> {
			if (loop.inEventLoop()) {
				task.run();
			}
			else {
				loop.execute(task);
			}
		});
	}

	RequestParser.Result parse(HttpRequest head) {
		if (this.forwarding.openExchanges() >= this.node.settings().limits().concurrentRequests()) {
			return new RequestParser.Result.Refused(
					Problem.notRun(RefusalReason.QUEUE_FULL, "too many requests are open at this entry", 0));
		}
		return this.parser.parse(head, now());
	}

	Exchange open(CallerHandler caller, CallerRequest request) {
		return this.forwarding.open(caller, request);
	}

	/**
	 * Answer to the checks of the platform's balancer.
	 * @param path path of the request
	 * @return the answer, {@code null} if the path belongs to a service
	 */
	@Nullable FullHttpResponse health(String path) {
		if (path.equals("/healthz")) {
			return text(HttpResponseStatus.OK, "ok\n");
		}
		if (!path.equals("/readyz")) {
			return null;
		}
		return (this.ready.getAsBoolean()) ? text(HttpResponseStatus.OK, "ready\n")
				: text(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready\n");
	}

	private void accept(Channel channel) {
		if (this.callers.size() >= this.settings.maxConnections()) {
			this.metrics.callerRefused();
			channel.close();
			return;
		}
		this.metrics.caller();
		CallerHandler handler = new CallerHandler(this);
		this.callers.add(handler);
		HttpDecoderConfig decoder = new HttpDecoderConfig().setMaxInitialLineLength(LONGEST_LINE)
			.setMaxHeaderSize(this.settings.maxHeaderBytes())
			.setMaxChunkSize(LARGEST_READ);
		channel.pipeline().addLast(new Arrivals(handler), new HttpServerCodec(decoder), handler);
	}

	private static FullHttpResponse text(HttpResponseStatus status, String body) {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
				Unpooled.wrappedBuffer(bytes));
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
		return response;
	}

	/**
	 * Tells the handler of bytes before they are decoded.
	 */
	private static final class Arrivals extends ChannelInboundHandlerAdapter {

		private final CallerHandler handler;

		Arrivals(CallerHandler handler) {
			this.handler = handler;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			this.handler.bytesArrived();
			context.fireChannelRead(message);
		}

	}

}
