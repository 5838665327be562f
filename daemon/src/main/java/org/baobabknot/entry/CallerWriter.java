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
 * Writes responses to a caller's socket and notifies the senders when it becomes writable
 * again. Confined to the event loop of the socket.
 */
final class CallerWriter {

	private final ChannelHandlerContext context;

	private final ArrayDeque<Runnable> writableCallbacks = new ArrayDeque<>();

	private boolean flushScheduled;

	CallerWriter(ChannelHandlerContext context) {
		this.context = context;
	}

	/**
	 * Writes a message. The socket is flushed once after all pending events of the event
	 * loop, so that parts which arrive together are sent together.
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
	 * @param onWritable called when the socket accepts more data
	 */
	void writeBody(ByteString data, Runnable onWritable) {
		ByteBuf buffer = this.context.alloc().buffer(data.size());
		try {
			UnsafeByteOperations.unsafeWriteTo(data, new ByteBufOutput(buffer));
		}
		catch (IOException ex) {
			throw new IllegalStateException("write to an in-memory buffer failed", ex);
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
	 * Runs the pending callbacks, called when the socket has become writable.
	 */
	void writable() {
		Runnable next = this.writableCallbacks.poll();
		while (next != null) {
			next.run();
			next = this.writableCallbacks.poll();
		}
	}

	/**
	 * Closes the socket after all pending writes.
	 */
	void closeAfterWrites() {
		this.context.writeAndFlush(this.context.alloc().buffer(0)).addListener(ChannelFutureListener.CLOSE);
	}

}
