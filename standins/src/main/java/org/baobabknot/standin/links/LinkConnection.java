package org.baobabknot.standin.links;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.baobabknot.standin.LinkRate;
import org.jspecify.annotations.Nullable;

/**
 * One forwarded connection: the accepted side and the side towards the target.
 */
final class LinkConnection {

	private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

	private final LinksStandin links;

	private final Forwarder forwarder;

	private final Direction forth;

	private final Direction back;

	private @Nullable Channel accepted;

	private @Nullable Channel target;

	private boolean silent;

	private int endedSides;

	LinkConnection(LinksStandin links, Forwarder forwarder, double delayMillis, LinkRate forth, LinkRate back) {
		this.links = links;
		this.forwarder = forwarder;
		this.forth = new Direction(this, forth, delayMillis, true);
		this.back = new Direction(this, back, delayMillis, false);
	}

	void start(Channel channel) {
		this.accepted = channel;
		channel.pipeline().addLast(this.forth);
		ChannelFuture connecting = new Bootstrap().group(this.links.server().loop())
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.AUTO_READ, false)
			.option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(Direction.PART_BYTES))
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(this.back)
			.connect(this.forwarder.target());
		this.target = connecting.channel();
		connecting.addListener((done) -> {
			if (!done.isSuccess()) {
				close();
				return;
			}
			this.forth.to(connecting.channel());
			this.back.to(channel);
			channel.read();
			connecting.channel().read();
		});
	}

	Forwarder forwarder() {
		return this.forwarder;
	}

	boolean isSilent() {
		return this.silent;
	}

	boolean isStalled() {
		return this.links.affects("stall", this.forwarder);
	}

	void silence() {
		this.silent = true;
	}

	void sideEnded() {
		this.endedSides++;
		if (this.endedSides > 1) {
			close();
		}
	}

	void close() {
		this.links.closed(this);
		this.forth.clear();
		this.back.clear();
		if (this.accepted != null) {
			this.accepted.close();
		}
		if (this.target != null) {
			this.target.close();
		}
	}

}
