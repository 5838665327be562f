package org.baobabknot.entry;

import io.netty.channel.ChannelHandlerContext;

/**
 * Requests reads of a socket one at a time. Confined to the event loop of the socket.
 */
final class SocketReads {

	private final ChannelHandlerContext context;

	private final Runnable onStart;

	private boolean pending;

	private boolean requested;

	SocketReads(ChannelHandlerContext context, Runnable onStart) {
		this.context = context;
		this.onStart = onStart;
	}

	/**
	 * Requests a read, or another one after the pending read.
	 */
	void request() {
		if (this.pending) {
			this.requested = true;
			return;
		}
		this.pending = true;
		this.onStart.run();
		this.context.read();
	}

	/**
	 * Whether a requested read has not ended.
	 * @return false while nothing is read from the caller
	 */
	boolean isPending() {
		return this.pending;
	}

	/**
	 * Records the end of the pending read.
	 * @return whether another one was requested meanwhile
	 */
	boolean complete() {
		boolean wasRequested = this.requested;
		this.pending = false;
		this.requested = false;
		return wasRequested;
	}

}
