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

	private final Map<String, ChunkSet> byDigest = new LinkedHashMap<>();

	private @Nullable ChunkSet wanted;

	/**
	 * Makes a version the wanted one and evicts all versions but the last wanted one.
	 * @param digest the digest of the manifest
	 * @param manifest the version
	 * @return the chunks that are held of it
	 */
	synchronized ChunkSet want(String digest, Manifest manifest) {
		ChunkSet before = this.wanted;
		ChunkSet known = this.byDigest.get(digest);
		ChunkSet next = (known != null) ? known : new ChunkSet(manifest);
		if (before != null && before != next) {
			next.copyMatchingChunks(before);
		}
		this.byDigest.values().removeIf((set) -> set != before && set != next);
		this.byDigest.put(digest, next);
		this.wanted = next;
		return next;
	}

	synchronized Optional<ChunkSet> find(String digest) {
		return Optional.ofNullable(this.byDigest.get(digest));
	}

	synchronized int versions() {
		return this.byDigest.size();
	}

}
