package org.baobabknot.entry;

import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Generates request ids of 16 bytes: a random prefix of the process and a counter. Ids
 * are unique within a process; the prefixes of two processes collide with a probability
 * of 2^-64.
 */
final class RequestIdGenerator {

	static final int ID_BYTES = 16;

	private final long processPrefix = new SecureRandom().nextLong();

	private final AtomicLong next = new AtomicLong();

	byte[] next() {
		return ByteBuffer.allocate(ID_BYTES).putLong(this.processPrefix).putLong(this.next.incrementAndGet()).array();
	}

}
