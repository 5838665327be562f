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
 * Forwards bytes in one direction of a connection. Each part reserves its transfer time
 * on the shared link and is delivered after that time plus the link delay. Reading stops
 * while a full window of bytes is in flight.
 */
final class LinkDirection extends ChannelInboundHandlerAdapter {

	/**
	 * Maximum size of a part. It is small so that the parts of all connections are
	 * interleaved on the link.
	 */
	static final int MAX_PART_BYTES = 16 * 1024;

	private static final int MAX_IN_FLIGHT_BYTES = 64 * 1024;

	/**
	 * Delay after which delivery of stalled data is tried again.
	 */
	private static final int RETRY_DELAY_MS = 20;

	private static final double NANOS_PER_MS = 1e6;

	private final LinkConnection connection;

	private final LinkRate rate;

	private final long delayNanos;

	private final boolean forward;

	private final Deque<Part> parts = new ArrayDeque<>();

	private int bytesInFlight;

	private boolean scheduled;

	private boolean sourceClosed;

	private @Nullable Channel source;

	private @Nullable Channel destination;

	LinkDirection(LinkConnection connection, LinkRate rate, double delayMillis, boolean forward) {
		this.connection = connection;
		this.rate = rate;
		this.delayNanos = (long) (delayMillis * NANOS_PER_MS);
		this.forward = forward;
	}

	void connectTo(Channel channel) {
		this.destination = channel;
		scheduleDelivery();
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
		long transferNanos = this.rate.reserve(bytes.readableBytes(), now);
		this.bytesInFlight += bytes.readableBytes();
		this.parts.add(new Part(bytes, now + transferNanos + this.delayNanos));
		scheduleDelivery();
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext ctx) {
		if (this.bytesInFlight < MAX_IN_FLIGHT_BYTES) {
			ctx.read();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.sourceClosed = true;
		if (this.connection.isSilent()) {
			this.connection.onSideClosed();
			return;
		}
		scheduleDelivery();
	}

	private void scheduleDelivery() {
		Channel target = this.destination;
		if (this.scheduled || target == null) {
			if (target == null && this.sourceClosed) {
				this.connection.close();
			}
			return;
		}
		Part next = this.parts.peek();
		if (next == null) {
			if (this.sourceClosed) {
				// The empty write completes after all earlier writes have been flushed.
				target.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((flushed) -> this.connection.close());
			}
			return;
		}
		this.scheduled = true;
		long delayNanos = Math.max(0, next.dueNanos() - System.nanoTime());
		target.eventLoop().schedule(this::deliver, delayNanos, TimeUnit.NANOSECONDS);
	}

	private void deliver() {
		Channel target = this.destination;
		if (target == null) {
			return;
		}
		if (this.connection.isStalled() || !target.isWritable()) {
			target.eventLoop().schedule(this::deliver, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
			return;
		}
		this.scheduled = false;
		long now = System.nanoTime();
		Part part = this.parts.peek();
		while (part != null && part.dueNanos() - now <= 0) {
			this.parts.remove();
			writePart(target, part.bytes());
			part = this.parts.peek();
		}
		target.flush();
		if (this.source != null && this.bytesInFlight < MAX_IN_FLIGHT_BYTES) {
			this.source.read();
		}
		scheduleDelivery();
	}

	private void writePart(Channel target, ByteBuf bytes) {
		int length = bytes.readableBytes();
		this.bytesInFlight -= length;
		if (this.connection.isSilent()) {
			bytes.release();
			return;
		}
		this.connection.forwarder().recordBytes(this.forward, length);
		target.write(bytes);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		ctx.close();
	}

	void releaseParts() {
		this.parts.forEach((part) -> part.bytes().release());
		this.parts.clear();
	}

	private record Part(ByteBuf bytes, long dueNanos) {

	}

}
