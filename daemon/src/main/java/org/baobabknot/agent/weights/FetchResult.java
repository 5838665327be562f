package org.baobabknot.agent.weights;

import org.baobabknot.distribution.FetchFailure;

/**
 * Result of a fetch, before verification.
 */
sealed interface FetchResult {

	/**
	 * All bytes arrived.
	 *
	 * @param bytes the bytes
	 */
	record Completed(byte[] bytes) implements FetchResult {
	}

	/**
	 * The fetch failed.
	 *
	 * @param failure why
	 */
	record Failed(FetchFailure failure) implements FetchResult {
	}

}
