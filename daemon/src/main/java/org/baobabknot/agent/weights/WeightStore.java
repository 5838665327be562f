package org.baobabknot.agent.weights;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.baobabknot.weights.ChunkSet;
import org.baobabknot.weights.Manifest;
import org.jspecify.annotations.Nullable;

/**
 * Chunks in memory, of at most two versions: the one that the rules ask for and the one
 * before it, which others may still fetch and from which equal chunks are taken over.
 * Thread-safe.
 */
final class WeightStore {

	private final Map<String, ChunkSet> chunksByDigest = new LinkedHashMap<>();

	private @Nullable ChunkSet wanted;

	/**
	 * Makes a version the wanted one and evicts all versions but the last wanted one.
	 * @param digest the digest of the manifest
	 * @param manifest the version
	 * @return the chunks that are held of it
	 */
	synchronized ChunkSet setWanted(String digest, Manifest manifest) {
		ChunkSet previous = this.wanted;
		ChunkSet known = this.chunksByDigest.get(digest);
		ChunkSet next = (known != null) ? known : new ChunkSet(manifest);
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
