package org.baobabknot.distribution;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks failures of sources and how long each source is avoided or, for one chunk,
 * backed off from.
 */
final class SourceHealth {

	private final DistributionSettings settings;

	private final Map<String, Integer> corruptCounts = new HashMap<>();

	private final Map<String, Long> avoidedUntilNanos = new HashMap<>();

	private final Map<ChunkSource, Long> retryAtNanos = new HashMap<>();

	SourceHealth(DistributionSettings settings) {
		this.settings = settings;
	}

	void recordFailure(int index, String source, FetchFailure failure, long nowNanos) {
		this.retryAtNanos.put(new ChunkSource(index, source), nowNanos + this.settings.retryDelayNanos());
		if (failure == FetchFailure.UNREACHABLE) {
			avoid(source, nowNanos + this.settings.stallTimeoutNanos());
		}
		else if (failure == FetchFailure.CORRUPT
				&& this.corruptCounts.merge(source, 1, Integer::sum) >= this.settings.maxCorruptChunks()) {
			this.corruptCounts.remove(source);
			avoid(source, nowNanos + this.settings.exclusionNanos());
		}
	}

	private void avoid(String source, long untilNanos) {
		this.avoidedUntilNanos.merge(source, untilNanos, Math::max);
	}

	boolean isAvoided(String source, long nowNanos) {
		Long until = this.avoidedUntilNanos.get(source);
		return until != null && until > nowNanos;
	}

	boolean isBackingOff(int index, String source, long nowNanos) {
		Long until = this.retryAtNanos.get(new ChunkSource(index, source));
		return until != null && until > nowNanos;
	}

	boolean hasFailed(int index, String source) {
		return this.retryAtNanos.containsKey(new ChunkSource(index, source));
	}

	void clearFailures(int index) {
		this.retryAtNanos.keySet().removeIf((chunkSource) -> chunkSource.index() == index);
	}

	private record ChunkSource(int index, String source) {
	}

}
