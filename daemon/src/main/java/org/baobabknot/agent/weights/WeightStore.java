package org.baobabknot.agent.weights;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.baobabknot.weights.ChunkSet;
import org.baobabknot.weights.Manifest;
import org.jspecify.annotations.Nullable;

/**
 * Stores chunks in memory, of at most two versions: the wanted one and the previously
 * wanted one, which other agents may still fetch and from which matching chunks are
 * copied. Thread-safe.
 */
final class WeightStore {

	private final Map<String, ChunkSet> chunksByDigest = new LinkedHashMap<>();

	private @Nullable ChunkSet wanted;

	/**
	 * Sets the wanted version and evicts all versions except this and the previously
	 * wanted one.
	 * @param digest the digest of the manifest
	 * @param manifest the version
	 * @return the chunks held of the version
	 */
	synchronized ChunkSet setWanted(String digest, Manifest manifest) {
		ChunkSet previous = this.wanted;
		ChunkSet existing = this.chunksByDigest.get(digest);
		ChunkSet next = (existing != null) ? existing : new ChunkSet(manifest);
		if (previous != null && previous != next) {
			next.copyMatchingChunks(previous);
		}
		this.chunksByDigest.values().removeIf((set) -> set != previous && set != next);
		this.chunksByDigest.put(digest, next);
		this.wanted = next;
		return next;
	}

	synchronized Optional<ChunkSet> find(String digest) {
		return Optional.ofNullable(this.chunksByDigest.get(digest));
	}

	synchronized int versionCount() {
		return this.chunksByDigest.size();
	}

}
