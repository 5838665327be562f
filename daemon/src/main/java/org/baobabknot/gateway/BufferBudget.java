package org.baobabknot.gateway;

/**
 * Memory for what is collected, such as whole answers, shared by all requests of a
 * process. A little of each always has room, so that what never ends can't keep others
 * from it. Confined to one thread.
 */
final class BufferBudget {

	/** Bytes of each that need no room in the shared memory. */
	private static final int EXEMPT_BYTES = 64 << 10;

	private final long maxSharedBytes;

	private final int maxBufferBytes;

	private long usedSharedBytes;

	/**
	 * Creates the memory.
	 * @param maxSharedBytes bytes of all together beyond what each always has
	 * @param maxBufferBytes bytes of one
	 */
	BufferBudget(long maxSharedBytes, int maxBufferBytes) {
		this.maxSharedBytes = maxSharedBytes;
		this.maxBufferBytes = maxBufferBytes;
	}

	/**
	 * Takes room for more of one.
	 * @param currentBytes its bytes so far
	 * @param additionalBytes further bytes
	 * @return whether there is room
	 */
	boolean tryGrow(int currentBytes, int additionalBytes) {
		long additionalSharedBytes = sharedBytes((long) currentBytes + additionalBytes) - sharedBytes(currentBytes);
		if ((long) currentBytes + additionalBytes > this.maxBufferBytes
				|| this.usedSharedBytes + additionalSharedBytes > this.maxSharedBytes) {
			return false;
		}
		this.usedSharedBytes += additionalSharedBytes;
		return true;
	}

	/**
	 * Gives back the room of one.
	 * @param bytes its bytes
	 */
	void release(int bytes) {
		this.usedSharedBytes -= sharedBytes(bytes);
	}

	private static long sharedBytes(long bytes) {
		return Math.max(0, bytes - EXEMPT_BYTES);
	}

}
