package org.baobabknot.standin.links;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.baobabknot.standin.LinkRate;
import org.jspecify.annotations.Nullable;

/**
 * Carries bytes in one direction: each part reserves its time on the shared link and is
 * delivered after that time and the delay. At most one window of bytes is on the way.
 */
final class Direction extends ChannelInboundHandlerAdapter {

	/**
	 * Longest part, so that connections take turns on the link in short steps.
	 */
	static final int PART_BYTES = 16 * 1024;

	private static final int WINDOW_BYTES = 64 * 1024;

	/**
	 * Time after which held data is looked at again.
	 */
	private static final int RETRY_MILLIS = 20;

	private static final double NANOS_PER_MILLI = 1e6;

	private final LinkConnection connection;

	private final LinkRate rate;

	private final long delayNanos;

	private final boolean forward;

	private final Deque<Part> parts = new ArrayDeque<>();

	private int bytesOnTheWay;

	private boolean scheduled;

	private boolean ended;

	private @Nullable Channel source;

	private @Nullable Channel to;

	Direction(LinkConnection connection, LinkRate rate, double delayMillis, boolean forward) {
		this.connection = connection;
		this.rate = rate;
		this.delayNanos = (long) (delayMillis * NANOS_PER_MILLI);
		this.forward = forward;
	}

	void to(Channel channel) {
		this.to = channel;
		schedule();
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.source = ctx.channel();
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		ByteBuf bytes = (ByteBuf) message;
		if (this.connection.isSilent()) {
			bytes.release();
			return;
		}
		long now = System.nanoTime();
		long passed = this.rate.reserve(bytes.readableBytes(), now);
		this.bytesOnTheWay += bytes.readableBytes();
		this.parts.add(new Part(bytes, now + passed + this.delayNanos));
		schedule();
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext ctx) {
		if (this.bytesOnTheWay < WINDOW_BYTES) {
			ctx.read();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.ended = true;
		if (this.connection.isSilent()) {
			this.connection.sideEnded();
			return;
		}
		schedule();
	}

	private void schedule() {
		Channel target = this.to;
		if (this.scheduled || target == null) {
			if (target == null && this.ended) {
				this.connection.close();
			}
			return;
		}
		Part next = this.parts.peek();
		if (next == null) {
			if (this.ended) {
				// Closes only after what was written before has left.
				target.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((flushed) -> this.connection.close());
			}
			return;
		}
		this.scheduled = true;
		long wait = Math.max(0, next.dueNanos() - System.nanoTime());
		target.eventLoop().schedule(this::deliver, wait, TimeUnit.NANOSECONDS);
	}

	private void deliver() {
		Channel target = this.to;
		if (target == null) {
			return;
		}
		if (this.connection.isStalled() || !target.isWritable()) {
			target.eventLoop().schedule(this::deliver, RETRY_MILLIS, TimeUnit.MILLISECONDS);
			return;
		}
		this.scheduled = false;
		long now = System.nanoTime();
		Part part = this.parts.peek();
		while (part != null && part.dueNanos() - now <= 0) {
			this.parts.remove();
			pass(target, part.bytes());
			part = this.parts.peek();
		}
		target.flush();
		if (this.source != null && this.bytesOnTheWay < WINDOW_BYTES) {
			this.source.read();
		}
		schedule();
	}

	private void pass(Channel target, ByteBuf bytes) {
		int length = bytes.readableBytes();
		this.bytesOnTheWay -= length;
		if (this.connection.isSilent()) {
			bytes.release();
			return;
		}
		this.connection.forwarder().passed(this.forward, length);
		target.write(bytes);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		ctx.close();
	}

	void clear() {
		this.parts.forEach((part) -> part.bytes().release());
		this.parts.clear();
	}

	private record Part(ByteBuf bytes, long dueNanos) {

	}

}
