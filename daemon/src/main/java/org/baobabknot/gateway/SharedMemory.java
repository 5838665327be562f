package org.baobabknot.gateway;

/**
 * Memory for what is collected, such as whole answers, shared by all requests of a
 * process. A little of each always has room, so that what never ends can't keep others
 * from it. Confined to one thread.
 */
final class SharedMemory {

	/** Bytes of each that need no room in the shared memory. */
	private static final int SMALL_BYTES = 64 << 10;

	private final long mostBytes;

	private final int mostOfOneBytes;

	private long heldBytes;

	/**
	 * Creates the memory.
	 * @param mostBytes bytes of all together beyond what each always has
	 * @param mostOfOneBytes bytes of one
	 */
	SharedMemory(long mostBytes, int mostOfOneBytes) {
		this.mostBytes = mostBytes;
		this.mostOfOneBytes = mostOfOneBytes;
	}

	/**
	 * Takes room for more of one.
	 * @param before its bytes so far
	 * @param more further bytes
	 * @return whether there is room
	 */
	boolean tryGrow(int before, int more) {
		long grown = shared((long) before + more) - shared(before);
		if ((long) before + more > this.mostOfOneBytes || this.heldBytes + grown > this.mostBytes) {
			return false;
		}
		this.heldBytes += grown;
		return true;
	}

	/**
	 * Gives back the room of one.
	 * @param bytes its bytes
	 */
	void release(int bytes) {
		this.heldBytes -= shared(bytes);
	}

	private static long shared(long bytes) {
		return Math.max(0, bytes - SMALL_BYTES);
	}

}
