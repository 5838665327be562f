package org.baobabknot.weights;

/**
 * Result of storing a chunk.
 */
public sealed interface StoreResult {

	/**
	 * The chunk was verified and is held.
	 *
	 * @param index the chunk
	 */
	record Stored(int index) implements StoreResult {
	}

	/**
	 * The chunk was held already; the bytes were dropped without verification.
	 *
	 * @param index the chunk
	 */
	record Duplicate(int index) implements StoreResult {
	}

	/**
	 * The bytes don't match the manifest and were dropped.
	 *
	 * @param index the chunk
	 * @param detail the difference
	 */
	record Corrupt(int index, String detail) implements StoreResult {
	}

}
