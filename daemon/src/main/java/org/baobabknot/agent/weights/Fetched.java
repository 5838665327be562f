package org.baobabknot.agent.weights;

import org.baobabknot.distribution.FetchFailure;

/**
 * Result of a fetch, before verification.
 */
sealed interface Fetched {

	/**
	 * All bytes arrived.
	 *
	 * @param bytes the bytes
	 */
	record Bytes(byte[] bytes) implements Fetched {
	}

	/**
	 * The fetch failed.
	 *
	 * @param failure why
	 */
	record NotFetched(FetchFailure failure) implements Fetched {
	}

}
