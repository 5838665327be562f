package org.baobabknot.distribution;

import java.util.concurrent.TimeUnit;

/**
 * Limits and delays of a {@link DistributionPlanner}.
 *
 * @param maxNeighbours agents of the own failure domain with which bitmaps are exchanged
 * @param maxOwnDomainTransfers concurrent fetches from the own failure domain
 * @param maxOtherDomainTransfers concurrent fetches from other failure domains
 * @param maxOriginTransfers concurrent fetches from the origin
 * @param maxTransfersPerSource concurrent fetches from one agent
 * @param originIntervalNanos time between the starts of two fetches from the origin, over
 * the whole fleet
 * @param stallTimeoutNanos time without progress after which the next agent takes over
 * @param retryDelayNanos time before a refused or failed fetch is retried
 * @param exclusionNanos time for which a source of corrupt chunks is not used
 * @param maxCorruptChunks corrupt chunks from one source that exclude it
 * @param initialExtraCopies copies beyond the first that the whole fleet may fetch from
 * the origin
 * @param maxExtraCopies limit to which {@code initialExtraCopies} grows, by one chunk of
 * each agent per {@code stallTimeoutNanos}
 */
public record DistributionSettings(int maxNeighbours, int maxOwnDomainTransfers, int maxOtherDomainTransfers,
		int maxOriginTransfers, int maxTransfersPerSource, long originIntervalNanos, long stallTimeoutNanos,
		long retryDelayNanos, long exclusionNanos, int maxCorruptChunks, double initialExtraCopies,
		double maxExtraCopies) {

	/**
	 * Returns the settings for a link rate, as stated on the design page. In the time in
	 * which an instance's link carries two copies the origin carries four, so fetches
	 * start at the origin at twice the rate of an instance's link; if all started at
	 * once, all chunks would arrive at the end.
	 * @param chunkBytes size of a chunk
	 * @param linkBytesPerSecond rate of an instance's link
	 * @return the settings
	 */
	public static DistributionSettings forLinkRate(int chunkBytes, long linkBytesPerSecond) {
		long chunkNanos = (long) (chunkBytes * 1e9 / linkBytesPerSecond);
		long stallTimeoutNanos = Math.max(TimeUnit.SECONDS.toNanos(2), 10 * chunkNanos);
		return new DistributionSettings(8, 6, 4, 2, 1, chunkNanos / 2, stallTimeoutNanos, stallTimeoutNanos / 8,
				TimeUnit.SECONDS.toNanos(60), 3, 0.2, 0.5);
	}

}
