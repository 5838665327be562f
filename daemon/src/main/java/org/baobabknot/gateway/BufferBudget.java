package org.baobabknot.gateway;

/**
 * Memory budget for buffers, such as those of responses, that all requests of a process
 * share. The first bytes of each buffer are exempt, so that endless responses can't block
 * small ones. Confined to one thread.
 */
final class BufferBudget {

	/** Bytes of each buffer that don't count against the shared limit. */
	private static final int EXEMPT_BYTES = 64 << 10;

	private final long maxSharedBytes;

	private final int maxBufferBytes;

	private long usedSharedBytes;

	/**
	 * Creates a budget.
	 * @param maxSharedBytes limit for all buffers together, without their exempt bytes
	 * @param maxBufferBytes limit for each buffer
	 */
	BufferBudget(long maxSharedBytes, int maxBufferBytes) {
		this.maxSharedBytes = maxSharedBytes;
		this.maxBufferBytes = maxBufferBytes;
	}

	/**
	 * Reserves memory for the growth of a buffer.
	 * @param currentBytes current size of the buffer
	 * @param additionalBytes bytes to add
	 * @return false if a limit would be exceeded, in which case nothing is reserved
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
	 * Releases the memory of a buffer.
	 * @param bytes size of the buffer
	 */
	void release(int bytes) {
		this.usedSharedBytes -= sharedBytes(bytes);
	}

	private static long sharedBytes(long bytes) {
		return Math.max(0, bytes - EXEMPT_BYTES);
	}

}
