package org.baobabknot.entry;

import java.io.IOException;
import java.util.ArrayDeque;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpContent;

/**
 * Writes answers to a caller's socket and tells the senders when it has room again. Used
 * on the event loop of the socket only.
 */
final class CallerWriter {

	private final ChannelHandlerContext context;

	private final ArrayDeque<Runnable> writableCallbacks = new ArrayDeque<>();

	private boolean flushScheduled;

	CallerWriter(ChannelHandlerContext context) {
		this.context = context;
	}

	/**
	 * Writes a message. The socket is flushed once after all events that are ready on
	 * this loop, so that parts which arrive together leave together.
	 * @param message the message
	 */
	void write(Object message) {
		this.context.write(message, this.context.voidPromise());
		if (!this.flushScheduled) {
			this.flushScheduled = true;
			this.context.executor().execute(() -> {
				this.flushScheduled = false;
				this.context.flush();
			});
		}
	}

	/**
	 * Writes a part of a body.
	 * @param data the bytes
	 * @param onWritable called when there is room for more
	 */
	void writeBody(ByteString data, Runnable onWritable) {
		ByteBuf buffer = this.context.alloc().buffer(data.size());
		try {
			UnsafeByteOperations.unsafeWriteTo(data, new ByteBufOutput(buffer));
		}
		catch (IOException ex) {
			throw new IllegalStateException("a buffer in memory accepts every write", ex);
		}
		write(new DefaultHttpContent(buffer));
		if (this.context.channel().isWritable()) {
			onWritable.run();
		}
		else {
			this.writableCallbacks.add(onWritable);
		}
	}

	/**
	 * The socket has room again.
	 */
	void writable() {
		Runnable next = this.writableCallbacks.poll();
		while (next != null) {
			next.run();
			next = this.writableCallbacks.poll();
		}
	}

	/**
	 * Closes the socket after everything written so far.
	 */
	void closeAfterWrites() {
		this.context.writeAndFlush(this.context.alloc().buffer(0)).addListener(ChannelFutureListener.CLOSE);
	}

}
