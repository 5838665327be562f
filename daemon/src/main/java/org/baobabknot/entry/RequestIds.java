package org.baobabknot.entry;

import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Assigns request ids of 16 bytes: a random part per process and a counter, so that ids
 * are unique in a process by construction and between processes with 2^-64.
 */
final class RequestIds {

	static final int BYTES = 16;

	private final long process = new SecureRandom().nextLong();

	private final AtomicLong next = new AtomicLong();

	byte[] next() {
		return ByteBuffer.allocate(BYTES).putLong(this.process).putLong(this.next.incrementAndGet()).array();
	}

}
