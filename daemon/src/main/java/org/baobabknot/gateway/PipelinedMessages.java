package org.baobabknot.gateway;

import java.util.ArrayDeque;

import io.netty.handler.codec.http.HttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Queue of the HTTP messages that a caller pipelines while its request is open. Reading
 * continues up to a memory limit, because a close of the connection is only seen after
 * the data sent before it. Confined to one event loop.
 */
final class PipelinedMessages {

	/** Memory of a message without its body. */
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
	 * Queues a message.
	 * @param message the message, which the queue owns until it is removed
	 * @return false if the memory limit is reached and reading should pause
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
