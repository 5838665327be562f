package org.baobabknot.protocol;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslHandler;
import org.jspecify.annotations.Nullable;

/**
 * Installs the handlers of a connection in a channel.
 */
final class ConnectionPipeline {

	private static final WriteBufferWaterMark WRITE_BUFFER_WATER_MARK = new WriteBufferWaterMark(128 << 10, 256 << 10);

	private ConnectionPipeline() {
	}

	static void install(Channel channel, Connection connection, ConnectionSettings settings, boolean initiator,
			@Nullable SslContext tls) {
		channel.config().setOption(ChannelOption.TCP_NODELAY, true);
		channel.config().setWriteBufferWaterMark(WRITE_BUFFER_WATER_MARK);
		if (tls != null) {
			SslHandler handler = tls.newHandler(channel.alloc());
			handler.setHandshakeTimeoutMillis(settings.connectTimeout().toMillis() * 2);
			channel.pipeline().addLast(handler);
		}
		channel.pipeline()
			.addLast(new FlushConsolidationHandler(FlushConsolidationHandler.DEFAULT_EXPLICIT_FLUSH_AFTER_FLUSHES,
					true));
		channel.pipeline().addLast(new FrameCodec(settings.maxFrameBytes()));
		channel.pipeline().addLast(new ConnectionHandler(connection, initiator));
	}

}
