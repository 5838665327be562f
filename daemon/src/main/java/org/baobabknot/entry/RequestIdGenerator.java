package org.baobabknot.entry;

import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Assigns request ids of 16 bytes: a random part per process and a counter, so that ids
 * are unique in a process by construction and between processes with 2^-64.
 */
final class RequestIdGenerator {

	static final int ID_BYTES = 16;

	private final long processPrefix = new SecureRandom().nextLong();

	private final AtomicLong next = new AtomicLong();

	byte[] next() {
		return ByteBuffer.allocate(ID_BYTES).putLong(this.processPrefix).putLong(this.next.incrementAndGet()).array();
	}

}
