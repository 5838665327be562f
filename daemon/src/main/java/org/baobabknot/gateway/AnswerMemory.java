package org.baobabknot.gateway;

/**
 * Memory for answers that are collected whole, shared by all requests of a process. A
 * small answer always has room, so that answers that never end can't keep it from being
 * delivered. Confined to one thread.
 */
final class AnswerMemory {

	/** Bytes for which an answer needs no room in the shared memory. */
	private static final int SMALL_BYTES = 64 << 10;

	private final long mostBytes;

	private final int mostOfOneBytes;

	private long heldBytes;

	/**
	 * Creates the memory.
	 * @param mostBytes bytes of all answers beyond what each always has
	 * @param mostOfOneBytes bytes of one answer
	 */
	AnswerMemory(long mostBytes, int mostOfOneBytes) {
		this.mostBytes = mostBytes;
		this.mostOfOneBytes = mostOfOneBytes;
	}

	/**
	 * Takes room for more of an answer.
	 * @param before bytes of the answer so far
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
	 * Gives back the room of an answer.
	 * @param bytes its bytes
	 */
	void release(int bytes) {
		this.heldBytes -= shared(bytes);
	}

	private static long shared(long bytes) {
		return Math.max(0, bytes - SMALL_BYTES);
	}

}
