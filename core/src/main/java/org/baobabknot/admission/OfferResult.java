package org.baobabknot.admission;

import java.util.Optional;

/**
 * Result of {@link FairQueue#offer}: whether the request was queued.
 *
 * @param <T> type of the items
 */
public sealed interface OfferResult<T> {

	/**
	 * The request was queued.
	 *
	 * @param displaced request that was removed to make room and has to be refused
	 * @param <T> type of the items
	 */
	record Queued<T>(Optional<QueuedRequest<T>> displaced) implements OfferResult<T> {

	}

	/**
	 * The request was not queued.
	 *
	 * @param reason why it was refused
	 * @param <T> type of the items
	 */
	record Refused<T>(Reason reason) implements OfferResult<T> {

	}

	/**
	 * Reasons for a refusal.
	 */
	enum Reason {

		/**
		 * The queue is full.
		 */
		FULL,

		/**
		 * The workspace has as many queued requests as one workspace may have.
		 */
		WORKSPACE_OVER_SHARE

	}

}
