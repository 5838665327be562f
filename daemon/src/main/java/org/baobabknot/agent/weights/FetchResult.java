package org.baobabknot.agent.weights;

import org.baobabknot.distribution.FetchFailure;

/**
 * Result of a fetch before its content is verified.
 */
sealed interface FetchResult {

	/**
	 * All bytes arrived.
	 *
	 * @param bytes the fetched content
	 */
	record Completed(byte[] bytes) implements FetchResult {
	}

	/**
	 * The fetch failed.
	 *
	 * @param failure kind of the failure
	 */
	record Failed(FetchFailure failure) implements FetchResult {
	}

}
