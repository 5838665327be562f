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

	private final LocalState localState;

	private final @Nullable SslContext tls;

	private final ProtocolCounters counters;

	/**
	 * Creates a connector.
	 * @param group event loops of the connections; an NIO group
	 * @param settings limits and timeouts
	 * @param localState state of this process that is sent to peers
	 * @param tls client context, {@code null} for plain TCP
	 * @param counters counts of events
	 */
	public Connector(EventLoopGroup group, ConnectionSettings settings, LocalState localState, @Nullable SslContext tls,
			ProtocolCounters counters) {
		this.group = group;
		this.settings = settings;
		this.localState = localState;
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
					installConnection(channel, listener, result);
				}
			});
		bootstrap.connect(host, port).addListener((future) -> {
			if (!future.isSuccess()) {
				ConnectionFailure failure = new ConnectionFailure("connect", host + ":" + port,
						String.valueOf(future.cause()));
				result.complete(new ConnectResult.NotConnected(failure));
			}
		});
		return result;
	}

	private void installConnection(Channel channel, ConnectionListener listener,
			CompletableFuture<ConnectResult> result) {
		Connection connection = new Connection(channel, this.settings, this.localState, this.counters,
				new ConnectResultListener(listener, result), true);
		connection.whenClosed().thenAccept((failure) -> result.complete(new ConnectResult.NotConnected(failure)));
		ConnectionPipeline.install(channel, connection, this.settings, true, this.tls);
	}

	/**
	 * Completes the result of {@code connect} when the connection opens and passes all
	 * events to the caller's listener.
	 */
	private record ConnectResultListener(ConnectionListener listener,
			CompletableFuture<ConnectResult> result) implements ConnectionListener {

		@Override
		public Optional<String> refusalReason(Hello hello) {
			return this.listener.refusalReason(hello);
		}

		@Override
		public void onOpened(Connection connection) {
			this.listener.onOpened(connection);
			this.result.complete(new ConnectResult.Connected(connection));
		}

		@Override
		public @Nullable FrameHandler onStreamOpened(Stream stream, Frame first) {
			return this.listener.onStreamOpened(stream, first);
		}

		@Override
		public void onFrame(Connection connection, Frame frame) {
			this.listener.onFrame(connection, frame);
		}

		@Override
		public void onKnowledge(Connection connection, Knowledge knowledge) {
			this.listener.onKnowledge(connection, knowledge);
		}

		@Override
		public void onPong(Connection connection, @Nullable Load load) {
			this.listener.onPong(connection, load);
		}

		@Override
		public void onClosed(Connection connection, ConnectionFailure failure) {
			this.listener.onClosed(connection, failure);
		}

	}

}
