package org.baobabknot.gateway;

import java.util.ArrayDeque;

import io.netty.handler.codec.http.HttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * What a caller sent ahead of the answer to its open request. It is read on within a
 * bound of memory, because the close of a caller shows only behind what it has sent.
 * Confined to one event loop.
 */
final class PipelinedMessages {

	/** Memory of a message beside its body. */
	private static final int MESSAGE_OVERHEAD_BYTES = 512;

	private final ArrayDeque<Object> messages = new ArrayDeque<>();

	private final BufferBudget budget;

	private int reservedBytes;

	PipelinedMessages(BufferBudget budget) {
		this.budget = budget;
	}

	boolean isEmpty() {
		return this.messages.isEmpty();
	}

	/**
	 * Keeps a message.
	 * @param message the message, which is released in the end
	 * @return whether there is room for more
	 */
	boolean add(Object message) {
		this.messages.add(message);
		int messageBytes = MESSAGE_OVERHEAD_BYTES
				+ ((message instanceof HttpContent content) ? content.content().readableBytes() : 0);
		boolean reserved = this.budget.tryGrow(this.reservedBytes, messageBytes);
		if (reserved) {
			this.reservedBytes += messageBytes;
		}
		return reserved;
	}

	Object remove() {
		Object next = this.messages.remove();
		if (this.messages.isEmpty()) {
			release();
		}
		return next;
	}

	void clear() {
		this.messages.forEach(ReferenceCountUtil::release);
		this.messages.clear();
		release();
	}

	private void release() {
		this.budget.release(this.reservedBytes);
		this.reservedBytes = 0;
	}

}
