package org.baobabknot.distribution;

import java.util.HashMap;
import java.util.Map;

/**
 * Remembers which sources fail, and for how long they are not asked.
 */
final class SourceHealth {

	private final DistributionSettings settings;

	private final Map<String, Integer> corrupt = new HashMap<>();

	private final Map<String, Long> avoidedUntil = new HashMap<>();

	private final Map<Attempt, Long> retryAt = new HashMap<>();

	SourceHealth(DistributionSettings settings) {
		this.settings = settings;
	}

	void failed(int index, String source, FetchFailure failure, long nowNanos) {
		this.retryAt.put(new Attempt(index, source), nowNanos + this.settings.retryNanos());
		if (failure == FetchFailure.UNREACHABLE) {
			avoid(source, nowNanos + this.settings.stallNanos());
		}
		else if (failure == FetchFailure.CORRUPT
				&& this.corrupt.merge(source, 1, Integer::sum) >= this.settings.corruptLimit()) {
			this.corrupt.remove(source);
			avoid(source, nowNanos + this.settings.exclusionNanos());
		}
	}

	private void avoid(String source, long untilNanos) {
		this.avoidedUntil.merge(source, untilNanos, Math::max);
	}

	boolean avoided(String source, long nowNanos) {
		Long until = this.avoidedUntil.get(source);
		return until != null && until > nowNanos;
	}

	boolean backsOff(int index, String source, long nowNanos) {
		Long until = this.retryAt.get(new Attempt(index, source));
		return until != null && until > nowNanos;
	}

	boolean hasFailed(int index, String source) {
		return this.retryAt.containsKey(new Attempt(index, source));
	}

	void forget(int index) {
		this.retryAt.keySet().removeIf((attempt) -> attempt.index() == index);
	}

	private record Attempt(int index, String source) {
	}

}
