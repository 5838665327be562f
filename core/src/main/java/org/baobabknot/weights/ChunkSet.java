package org.baobabknot.weights;

import java.security.MessageDigest;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Holds the verified chunks of one manifest. Thread-safe. Chunks are verified outside the
 * lock, so that several can be verified concurrently.
 */
public final class ChunkSet {

	private final Manifest manifest;

	private final byte @Nullable [][] chunks;

	private final BitSet heldChunks = new BitSet();

	/**
	 * Creates an empty set.
	 * @param manifest manifest that describes the chunks
	 */
	public ChunkSet(Manifest manifest) {
		this.manifest = manifest;
		this.chunks = new byte[manifest.chunkCount()][];
	}

	/**
	 * Returns the manifest.
	 * @return the manifest
	 */
	public Manifest manifest() {
		return this.manifest;
	}

	/**
	 * Verifies and stores a chunk. The array is not copied and must not be changed
	 * afterwards.
	 * @param index the chunk
	 * @param bytes bytes of the chunk
	 * @return the result
	 */
	public StoreResult put(int index, byte[] bytes) {
		if (index < 0 || index >= this.chunks.length) {
			return new StoreResult.Corrupt(index, "index is out of range, number of chunks is " + this.chunks.length);
		}
		if (holds(index)) {
			return new StoreResult.Duplicate(index);
		}
		int expectedLength = this.manifest.chunkLength(index);
		if (bytes.length != expectedLength) {
			return new StoreResult.Corrupt(index, "%d bytes instead of %d".formatted(bytes.length, expectedLength));
		}
		if (!Digests.of(bytes).equals(this.manifest.chunkDigests().get(index))) {
			return new StoreResult.Corrupt(index, "digest differs from the manifest");
		}
		return store(index, bytes);
	}

	private synchronized StoreResult store(int index, byte[] bytes) {
		if (this.heldChunks.get(index)) {
			return new StoreResult.Duplicate(index);
		}
		this.chunks[index] = bytes;
		this.heldChunks.set(index);
		return new StoreResult.Stored(index);
	}

	/**
	 * Takes over the chunks of another version that have the same digest and length. The
	 * bytes are shared, not copied.
	 * @param other the other version
	 * @return number of chunks taken over
	 */
	public int copyMatchingChunks(ChunkSet other) {
		Map<String, Integer> indexByDigest = new HashMap<>();
		for (int index = 0; index < other.manifest.chunkCount(); index++) {
			indexByDigest.put(other.manifest.chunkDigests().get(index), index);
		}
		int copiedCount = 0;
		for (int index = 0; index < this.chunks.length; index++) {
			Integer otherIndex = indexByDigest.get(this.manifest.chunkDigests().get(index));
			byte[] bytes = (otherIndex != null) ? other.heldBytes(otherIndex) : null;
			if (bytes != null && bytes.length == this.manifest.chunkLength(index)
					&& store(index, bytes) instanceof StoreResult.Stored) {
				copiedCount++;
			}
		}
		return copiedCount;
	}

	private synchronized byte @Nullable [] heldBytes(int index) {
		return this.chunks[index];
	}

	/**
	 * Returns whether every chunk is held.
	 * @return true when none is missing
	 */
	public synchronized boolean complete() {
		return this.heldChunks.cardinality() == this.chunks.length;
	}

	/**
	 * Returns whether a chunk is held.
	 * @param index the chunk
	 * @return true when it is held
	 */
	public synchronized boolean holds(int index) {
		return this.heldChunks.get(index);
	}

	/**
	 * Returns which chunks are held.
	 * @return a copy
	 */
	public synchronized BitSet heldChunks() {
		return (BitSet) this.heldChunks.clone();
	}

	/**
	 * Returns the bytes of a held chunk, which must not be changed.
	 * @param index the chunk
	 * @return the bytes
	 * @throws IllegalStateException when the chunk is not held
	 */
	public byte[] chunk(int index) {
		byte[] bytes = heldBytes(index);
		if (bytes == null) {
			throw new IllegalStateException("chunk %d is not held".formatted(index));
		}
		return bytes;
	}

	/**
	 * Computes the digest of the whole content and compares it with the manifest.
	 * @return true when the set is complete and the digest matches
	 */
	public boolean verifyWhole() {
		if (!complete()) {
			return false;
		}
		MessageDigest digest = Digests.sha256();
		for (int index = 0; index < this.chunks.length; index++) {
			digest.update(chunk(index));
		}
		return Digests.hex(digest.digest()).equals(this.manifest.wholeDigest());
	}

}
