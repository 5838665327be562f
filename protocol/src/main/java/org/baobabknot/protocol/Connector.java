package org.baobabknot.protocol;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.SslContext;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.Hello;
import org.baobabknot.protocol.generated.Knowledge;
import org.baobabknot.protocol.generated.Load;
import org.jspecify.annotations.Nullable;

/**
 * Opens connections to other processes.
 */
public final class Connector {

	private final EventLoopGroup group;

	private final ConnectionSettings settings;

	private final LocalState local;

	private final @Nullable SslContext tls;

	private final ProtocolCounters counters;

	/**
	 * Creates a connector.
	 * @param group event loops of the connections; an NIO group
	 * @param settings limits and timeouts
	 * @param local what this process tells its peers
	 * @param tls client context, {@code null} for plain TCP
	 * @param counters counts of events
	 */
	public Connector(EventLoopGroup group, ConnectionSettings settings, LocalState local, @Nullable SslContext tls,
			ProtocolCounters counters) {
		this.group = group;
		this.settings = settings;
		this.local = local;
		this.tls = tls;
		this.counters = counters;
	}

	/**
	 * Connects and exchanges Hello.
	 * @param host address of the peer
	 * @param port its process port
	 * @param listener receives the events of the connection
	 * @return completed with the open connection or the step that failed, never
	 * exceptionally
	 */
	public CompletableFuture<ConnectResult> connect(String host, int port, ConnectionListener listener) {
		CompletableFuture<ConnectResult> result = new CompletableFuture<>();
		Bootstrap bootstrap = new Bootstrap().group(this.group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) this.settings.connectTimeout().toMillis())
			.handler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					install(channel, listener, result);
				}
			});
		bootstrap.connect(host, port).addListener((future) -> {
			if (!future.isSuccess()) {
				Failure failure = new Failure("connect", host + ":" + port, String.valueOf(future.cause()));
				result.complete(new ConnectResult.NotConnected(failure));
			}
		});
		return result;
	}

	private void install(Channel channel, ConnectionListener listener, CompletableFuture<ConnectResult> result) {
		Connection connection = new Connection(channel, this.settings, this.local, this.counters,
				new Reporting(listener, result), true);
		connection.onClose().thenAccept((failure) -> result.complete(new ConnectResult.NotConnected(failure)));
		Pipeline.install(channel, connection, this.settings, true, this.tls);
	}

	/**
	 * Completes the result of the connector when the connection opens.
	 */
	private record Reporting(ConnectionListener listener,
			CompletableFuture<ConnectResult> result) implements ConnectionListener {

		@Override
		public Optional<String> refuse(Hello hello) {
			return this.listener.refuse(hello);
		}

		@Override
		public void opened(Connection connection) {
			this.listener.opened(connection);
			this.result.complete(new ConnectResult.Connected(connection));
		}

		@Override
		public @Nullable FrameHandler streamOpened(Stream stream, Frame first) {
			return this.listener.streamOpened(stream, first);
		}

		@Override
		public void received(Connection connection, Frame frame) {
			this.listener.received(connection, frame);
		}

		@Override
		public void knowledge(Connection connection, Knowledge knowledge) {
			this.listener.knowledge(connection, knowledge);
		}

		@Override
		public void pong(Connection connection, @Nullable Load load) {
			this.listener.pong(connection, load);
		}

		@Override
		public void closed(Connection connection, Failure failure) {
			this.listener.closed(connection, failure);
		}

	}

}
