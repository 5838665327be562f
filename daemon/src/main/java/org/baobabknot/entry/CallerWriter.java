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

	private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();

	private boolean flushing;

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
		if (!this.flushing) {
			this.flushing = true;
			this.context.executor().execute(() -> {
				this.flushing = false;
				this.context.flush();
			});
		}
	}

	/**
	 * Writes a part of a body.
	 * @param part the bytes
	 * @param written called when there is room for more
	 */
	void writeBody(ByteString part, Runnable written) {
		ByteBuf bytes = this.context.alloc().buffer(part.size());
		try {
			UnsafeByteOperations.unsafeWriteTo(part, new BufferOutput(bytes));
		}
		catch (IOException ex) {
			throw new IllegalStateException("a buffer in memory accepts every write", ex);
		}
		write(new DefaultHttpContent(bytes));
		if (this.context.channel().isWritable()) {
			written.run();
		}
		else {
			this.waiting.add(written);
		}
	}

	/**
	 * The socket has room again.
	 */
	void writable() {
		Runnable next = this.waiting.poll();
		while (next != null) {
			next.run();
			next = this.waiting.poll();
		}
	}

	/**
	 * Closes the socket after everything written so far.
	 */
	void closeAfterWrites() {
		this.context.writeAndFlush(this.context.alloc().buffer(0)).addListener(ChannelFutureListener.CLOSE);
	}

}
