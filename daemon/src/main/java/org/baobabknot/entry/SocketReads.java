package org.baobabknot.entry;

import io.netty.channel.ChannelHandlerContext;

/**
 * Requests reads of a socket one at a time. Confined to the event loop of the socket.
 */
final class SocketReads {

	private final ChannelHandlerContext context;

	private boolean pending;

	private boolean requested;

	SocketReads(ChannelHandlerContext context) {
		this.context = context;
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
		this.context.read();
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
