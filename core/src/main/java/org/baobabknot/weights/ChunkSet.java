package org.baobabknot.weights;

import java.security.MessageDigest;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Holds verified chunks of one manifest. Thread-safe. Chunks are verified outside the
 * lock, so that several can be verified at once.
 */
public final class ChunkSet {

	private final Manifest manifest;

	private final byte @Nullable [][] chunks;

	private final BitSet held = new BitSet();

	/**
	 * Creates an empty set.
	 * @param manifest describes the chunks
	 */
	public ChunkSet(Manifest manifest) {
		this.manifest = manifest;
		this.chunks = new byte[manifest.chunks()][];
	}

	/**
	 * Returns the manifest.
	 * @return the manifest
	 */
	public Manifest manifest() {
		return this.manifest;
	}

	/**
	 * Verifies and stores a chunk. The array is kept and must not be changed afterwards.
	 * @param index the chunk
	 * @param bytes its bytes
	 * @return what happened
	 */
	public StoreResult put(int index, byte[] bytes) {
		if (index < 0 || index >= this.chunks.length) {
			return new StoreResult.Corrupt(index, "no such chunk among " + this.chunks.length);
		}
		if (holds(index)) {
			return new StoreResult.Duplicate(index);
		}
		int expected = this.manifest.chunkLength(index);
		if (bytes.length != expected) {
			return new StoreResult.Corrupt(index, "%d bytes instead of %d".formatted(bytes.length, expected));
		}
		if (!Digests.of(bytes).equals(this.manifest.chunkDigests().get(index))) {
			return new StoreResult.Corrupt(index, "digest differs from the manifest");
		}
		return store(index, bytes);
	}

	private synchronized StoreResult store(int index, byte[] bytes) {
		if (this.held.get(index)) {
			return new StoreResult.Duplicate(index);
		}
		this.chunks[index] = bytes;
		this.held.set(index);
		return new StoreResult.Stored(index);
	}

	/**
	 * Takes over the chunks of another version that have the same digest and length. The
	 * bytes are shared, not copied.
	 * @param other the other version
	 * @return number of chunks taken over
	 */
	public int adoptFrom(ChunkSet other) {
		Map<String, Integer> indexes = new HashMap<>();
		for (int index = 0; index < other.manifest.chunks(); index++) {
			indexes.put(other.manifest.chunkDigests().get(index), index);
		}
		int adopted = 0;
		for (int index = 0; index < this.chunks.length; index++) {
			Integer source = indexes.get(this.manifest.chunkDigests().get(index));
			byte[] bytes = (source != null) ? other.peek(source) : null;
			if (bytes != null && bytes.length == this.manifest.chunkLength(index)
					&& store(index, bytes) instanceof StoreResult.Stored) {
				adopted++;
			}
		}
		return adopted;
	}

	private synchronized byte @Nullable [] peek(int index) {
		return this.chunks[index];
	}

	/**
	 * Tells whether every chunk is held.
	 * @return true when none is missing
	 */
	public synchronized boolean complete() {
		return this.held.cardinality() == this.chunks.length;
	}

	/**
	 * Tells whether a chunk is held.
	 * @param index the chunk
	 * @return true when it is held
	 */
	public synchronized boolean holds(int index) {
		return this.held.get(index);
	}

	/**
	 * Returns which chunks are held.
	 * @return a copy
	 */
	public synchronized BitSet held() {
		return (BitSet) this.held.clone();
	}

	/**
	 * Returns the bytes of a held chunk, which must not be changed.
	 * @param index the chunk
	 * @return the bytes
	 * @throws IllegalStateException when the chunk is not held
	 */
	public byte[] chunk(int index) {
		byte[] bytes = peek(index);
		if (bytes == null) {
			throw new IllegalStateException("chunk %d is not held".formatted(index));
		}
		return bytes;
	}

	/**
	 * Computes the digest of the whole and compares it with the manifest.
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
