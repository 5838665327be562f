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
 * One forwarded connection: the accepted channel and the channel to the target.
 */
final class LinkConnection {

	private static final int CONNECT_TIMEOUT_MS = 2_000;

	private final LinksStandin links;

	private final Forwarder forwarder;

	private final LinkDirection forward;

	private final LinkDirection backward;

	private @Nullable Channel accepted;

	private @Nullable Channel target;

	private boolean silent;

	private int closedSides;

	LinkConnection(LinksStandin links, Forwarder forwarder, double delayMillis, LinkRate forwardRate,
			LinkRate backwardRate) {
		this.links = links;
		this.forwarder = forwarder;
		this.forward = new LinkDirection(this, forwardRate, delayMillis, true);
		this.backward = new LinkDirection(this, backwardRate, delayMillis, false);
	}

	void start(Channel channel) {
		this.accepted = channel;
		channel.pipeline().addLast(this.forward);
		ChannelFuture connecting = new Bootstrap().group(this.links.server().loop())
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.AUTO_READ, false)
			.option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(LinkDirection.MAX_PART_BYTES))
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.handler(this.backward)
			.connect(this.forwarder.target());
		this.target = connecting.channel();
		connecting.addListener((done) -> {
			if (!done.isSuccess()) {
				close();
				return;
			}
			this.forward.connectTo(connecting.channel());
			this.backward.connectTo(channel);
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
		return this.links.isAffected("stall", this.forwarder);
	}

	void setSilent() {
		this.silent = true;
	}

	void onSideClosed() {
		this.closedSides++;
		if (this.closedSides > 1) {
			close();
		}
	}

	void close() {
		this.links.removeConnection(this);
		this.forward.releaseParts();
		this.backward.releaseParts();
		if (this.accepted != null) {
			this.accepted.close();
		}
		if (this.target != null) {
			this.target.close();
		}
	}

}
