package org.baobabknot.admission;

import java.util.Optional;

/**
 * Answer of {@link FairQueue#offer}.
 *
 * @param <T> type of the items
 */
public sealed interface OfferResult<T> {

	/**
	 * The request waits.
	 *
	 * @param displaced request of a workspace with more waiting requests that lost its
	 * place and has to be refused
	 * @param <T> type of the items
	 */
	record Queued<T>(Optional<QueuedRequest<T>> displaced) implements OfferResult<T> {

	}

	/**
	 * The request does not wait.
	 *
	 * @param reason why it was refused
	 * @param <T> type of the items
	 */
	record Refused<T>(Reason reason) implements OfferResult<T> {

	}

	/**
	 * Kinds of refusal.
	 */
	enum Reason {

		/**
		 * The queue is full.
		 */
		FULL,

		/**
		 * The workspace has used up its part of the queue.
		 */
		WORKSPACE_OVER_SHARE

	}

}
