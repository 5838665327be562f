package org.baobabknot.protocol;

import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.ssl.SslContext;
import org.jspecify.annotations.Nullable;

/**
 * Accepts connections from other processes. A connection that delivers invalid frames is
 * closed and counted; other connections are not affected.
 */
public final class Acceptor {

	private final EventLoopGroup group;

	private final ConnectionSettings settings;

	private final LocalState localState;

	private final ConnectionListener listener;

	private final @Nullable SslContext tls;

	private final ProtocolCounters counters;

	private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

	private volatile @Nullable Channel serverChannel;

	/**
	 * Creates an acceptor.
	 * @param group event loops of the connections; an NIO group
	 * @param settings limits and timeouts
	 * @param localState state of this process that is sent to peers
	 * @param listener receives the events of all accepted connections
	 * @param tls server context, {@code null} for plain TCP
	 * @param counters counts of events
	 */
	public Acceptor(EventLoopGroup group, ConnectionSettings settings, LocalState localState,
			ConnectionListener listener, @Nullable SslContext tls, ProtocolCounters counters) {
		this.group = group;
		this.settings = settings;
		this.localState = localState;
		this.listener = listener;
		this.tls = tls;
		this.counters = counters;
	}

	/**
	 * Binds the port and accepts connections.
	 * @param host local address
	 * @param port local port, 0 for any free one
	 * @return completed with the bound address, exceptionally if the port is taken
	 */
	public CompletableFuture<InetSocketAddress> bind(String host, int port) {
		CompletableFuture<InetSocketAddress> boundAddress = new CompletableFuture<>();
		ServerBootstrap bootstrap = new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.option(ChannelOption.SO_BACKLOG, 1024)
			.childHandler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					installConnection(channel);
				}
			});
		ChannelFuture bindFuture = bootstrap.bind(host, port);
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
	 * Number of open connections.
	 * @return accepted connections, including those before Hello
	 */
	public int connectionCount() {
		return this.connections.size();
	}

	/**
	 * Stops listening; open connections continue.
	 */
	public void stopListening() {
		Channel channel = this.serverChannel;
		if (channel != null) {
			channel.close();
		}
	}

	/**
	 * Stops listening and closes all connections.
	 */
	public void close() {
		stopListening();
		for (Connection connection : this.connections) {
			connection.close(connection.failure("shutdown", "this process is closing"));
		}
	}

	private void installConnection(Channel channel) {
		Connection connection = new Connection(channel, this.settings, this.localState, this.counters, this.listener,
				false);
		this.connections.add(connection);
		connection.whenClosed().thenAccept((failure) -> this.connections.remove(connection));
		ConnectionPipeline.install(channel, connection, this.settings, false, this.tls);
	}

}
