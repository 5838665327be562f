package org.baobabknot.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import org.baobabknot.settings.FleetSettings;

/**
 * Port at which callers connect.
 */
final class CallerPort {

	private static final int BACKLOG = 1_024;

	/**
	 * Bytes of a response that the kernel holds. It takes new ones when a third is free,
	 * so that a caller which reads slowly can be distinguished from one that does not
	 * read.
	 */
	private static final int SEND_BUFFER_BYTES = 1 << 18;

	/** Reads of one connection before the others are read, the default of Netty. */
	private static final int MAX_READS = 16;

	private CallerPort() {
	}

	/**
	 * Binds the port.
	 * @param loop event loop of all connections
	 * @param address address of the port
	 * @param acceptor receives each new connection
	 * @return completed with the port when it is bound
	 */
	static CompletableFuture<Channel> bind(EventLoop loop, FleetSettings.HostPort address, Consumer<Channel> acceptor) {
		CompletableFuture<Channel> bound = new CompletableFuture<>();
		new ServerBootstrap().group(loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
			// Reads until no data is left, so that a close right after a request is seen
			// before the request is sent to a target.
			.childOption(ChannelOption.RCVBUF_ALLOCATOR,
					new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS))
			.childOption(ChannelOption.SO_KEEPALIVE, true)
			.childHandler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					acceptor.accept(channel);
				}
			})
			.bind(address.host(), address.port())
			.addListener((ChannelFutureListener) (done) -> {
				if (done.isSuccess()) {
					bound.complete(done.channel());
				}
				else {
					bound.completeExceptionally(done.cause());
				}
			});
		return bound;
	}

}
