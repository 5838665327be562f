package org.baobabknot.distribution;

import java.util.concurrent.TimeUnit;

/**
 * Limits of the planner.
 *
 * @param maxNeighbours agents of the own domain with which bitmaps are exchanged
 * @param maxOwnDomainTransfers fetches from the own domain at once
 * @param maxOtherDomainTransfers fetches from other domains at once
 * @param maxOriginTransfers fetches from the origin at once
 * @param maxTransfersPerSource fetches from one agent at once
 * @param originIntervalNanos time between the starts of two chunks at the origin, over
 * the whole fleet
 * @param stallTimeoutNanos time without progress after which the next agent takes over
 * @param retryDelayNanos time before a refused or failed fetch is tried again
 * @param exclusionNanos time for which a source of corrupt chunks is not used
 * @param maxCorruptChunks corrupt chunks from one source that exclude it
 * @param initialExtraCopies copies over the fleet that may be fetched from the origin
 * beyond the first
 * @param maxExtraCopies bound to which that number grows, by one chunk of each agent per
 * {@code stallNanos}
 */
public record DistributionSettings(int maxNeighbours, int maxOwnDomainTransfers, int maxOtherDomainTransfers,
		int maxOriginTransfers, int maxTransfersPerSource, long originIntervalNanos, long stallTimeoutNanos,
		long retryDelayNanos, long exclusionNanos, int maxCorruptChunks, double initialExtraCopies,
		double maxExtraCopies) {

	/**
	 * Returns the limits of the design page. The origin carries four copies and an
	 * instance two in the same time, so chunks start at the origin at twice the rate of
	 * an instance's link; started all at once they would all arrive at the end.
	 * @param chunkBytes size of a chunk
	 * @param machineBytesPerSecond rate of an instance's link
	 * @return the settings
	 */
	public static DistributionSettings forLinkRate(int chunkBytes, long machineBytesPerSecond) {
		long chunkNanos = (long) (chunkBytes * 1e9 / machineBytesPerSecond);
		long stallTimeoutNanos = Math.max(TimeUnit.SECONDS.toNanos(2), 10 * chunkNanos);
		return new DistributionSettings(8, 6, 4, 2, 1, chunkNanos / 2, stallTimeoutNanos, stallTimeoutNanos / 8,
				TimeUnit.SECONDS.toNanos(60), 3, 0.2, 0.5);
	}

}
