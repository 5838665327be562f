package org.baobabknot.load;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;

/**
 * HTTP/1.1 client with keep-alive connections, one request at a time on each.
 */
public final class HttpCaller implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_MS = 2_000;

	private final EventLoopGroup group;

	private final Bootstrap bootstrap;

	private final long timeoutMillis;

	private final Map<InetSocketAddress, Deque<Channel>> idleChannels = new HashMap<>();

	/**
	 * Creates a client.
	 * @param threads number of event loop threads
	 * @param timeoutMillis longest time for one exchange, in milliseconds
	 */
	public HttpCaller(int threads, long timeoutMillis) {
		this.timeoutMillis = timeoutMillis;
		this.group = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
		this.bootstrap = new Bootstrap().group(this.group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.handler(new ChannelInitializer<Channel>() {

				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline().addLast(new HttpClientCodec()).addLast("exchange", new ExchangeHandler());
				}

			});
	}

	/**
	 * Sends a request.
	 * @param address the server
	 * @param request the request
	 * @return the response; never completed exceptionally
	 */
	public CompletableFuture<LoadResponse> send(InetSocketAddress address, LoadRequest request) {
		CompletableFuture<LoadResponse> response = new CompletableFuture<>();
		if (this.group.isShuttingDown()) {
			response.complete(ExchangeHandler.notConnected("client closed"));
			return response;
		}
		Channel idleChannel = takeIdle(address);
		if (idleChannel != null) {
			startExchange(idleChannel, address, request, response);
			return response;
		}
		ChannelFuture connectFuture = this.bootstrap.connect(address);
		connectFuture.addListener((completedConnect) -> {
			if (completedConnect.isSuccess()) {
				startExchange(connectFuture.channel(), address, request, response);
			}
			else {
				response.complete(ExchangeHandler.notConnected(String.valueOf(completedConnect.cause())));
			}
		});
		return response;
	}

	private void startExchange(Channel channel, InetSocketAddress address, LoadRequest request,
			CompletableFuture<LoadResponse> response) {
		channel.eventLoop().execute(() -> {
			ExchangeHandler handler = channel.pipeline().get(ExchangeHandler.class);
			handler.begin(channel, address, request, this.timeoutMillis, (received, reusable) -> {
				if (reusable) {
					keepIdle(address, channel);
				}
				else {
					channel.close();
				}
				response.complete(received);
			});
		});
	}

	private Channel takeIdle(InetSocketAddress address) {
		synchronized (this.idleChannels) {
			Deque<Channel> channels = this.idleChannels.get(address);
			while (channels != null && !channels.isEmpty()) {
				Channel channel = channels.pop();
				if (channel.isActive()) {
					return channel;
				}
			}
			return null;
		}
	}

	private void keepIdle(InetSocketAddress address, Channel channel) {
		synchronized (this.idleChannels) {
			this.idleChannels.computeIfAbsent(address, (key) -> new ArrayDeque<>()).push(channel);
		}
	}

	@Override
	public void close() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

}
