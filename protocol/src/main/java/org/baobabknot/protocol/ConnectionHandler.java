package org.baobabknot.protocol;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslHandshakeCompletionEvent;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.Hello;

/**
 * Passes the events of a channel to its connection. The connecting side sends Hello
 * first. The accepting side sends its own only after it has accepted the peer's, so that
 * port scanners get no information about the process.
 */
final class ConnectionHandler extends SimpleChannelInboundHandler<Frame> {

	private static final long HELLO_CHECK_INTERVAL_MS = 100;

	private final Connection connection;

	private final boolean initiator;

	private boolean started;

	ConnectionHandler(Connection connection, boolean initiator) {
		this.connection = connection;
		this.initiator = initiator;
	}

	/**
	 * Starts the exchange of Hello once the channel is ready, after the TLS handshake if
	 * there is one.
	 * @param context context of this handler
	 */
	void startHelloExchange(ChannelHandlerContext context) {
		if (this.started) {
			return;
		}
		this.started = true;
		if (this.initiator) {
			this.connection.sendHello();
		}
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		scheduleHelloCheck(context);
		if (context.pipeline().get(SslHandler.class) == null) {
			startHelloExchange(context);
		}
		context.fireChannelActive();
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof SslHandshakeCompletionEvent handshake) {
			if (handshake.isSuccess()) {
				startHelloExchange(context);
			}
			else {
				this.connection.closeInLoop(this.connection.failure("tls", String.valueOf(handshake.cause())));
			}
		}
		context.fireUserEventTriggered(event);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, Frame frame) {
		if (this.connection.established()) {
			this.connection.receive(frame);
		}
		else if (frame.hasHello() && frame.getStream() == 0) {
			receiveHello(frame.getHello());
		}
		else {
			this.connection.closeOnViolation("first frame is " + frame.getBodyCase() + ", expected HELLO");
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		this.connection.writabilityChanged();
		context.fireChannelWritabilityChanged();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.connection.closeInLoop(this.connection.failure("connection", "closed by the peer"));
		context.fireChannelInactive();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (cause instanceof DecoderException) {
			this.connection.counters().garbage().increment();
		}
		this.connection.closeInLoop(this.connection.failure("connection", String.valueOf(cause)));
	}

	private void receiveHello(Hello hello) {
		if (hello.getProtocolVersion() != Connection.PROTOCOL_VERSION) {
			refuseHello("protocol version " + hello.getProtocolVersion() + ", expected " + Connection.PROTOCOL_VERSION);
			return;
		}
		Optional<String> refusal = this.connection.listener().refusalReason(hello);
		if (refusal.isPresent()) {
			refuseHello(refusal.get());
			return;
		}
		if (!this.initiator) {
			this.connection.sendHello();
		}
		this.connection.established(hello);
	}

	private void refuseHello(String detail) {
		this.connection.counters().refusedHellos().increment();
		this.connection.closeInLoop(this.connection.failure("hello", detail));
	}

	private void scheduleHelloCheck(ChannelHandlerContext context) {
		context.executor().schedule(() -> {
			if (this.connection.isHelloOverdue()) {
				this.connection.counters().garbage().increment();
				this.connection.closeInLoop(this.connection.failure("hello", "none arrived in time"));
			}
			else if (!this.connection.established() && context.channel().isActive()) {
				scheduleHelloCheck(context);
			}
		}, HELLO_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

}
