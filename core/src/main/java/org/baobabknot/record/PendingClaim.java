package org.baobabknot.record;

import org.jspecify.annotations.Nullable;

/**
 * A request that waits for the claim of its key.
 */
final class PendingClaim {

	final Hash128 requestId;

	final Hash128 key;

	/**
	 * Claim in the batch that is being written.
	 */
	@Nullable Claim claim;

	/**
	 * Claim of another agent that said it will not run the request.
	 */
	@Nullable Claim replaceableClaim;

	PendingClaim(Hash128 requestId, Hash128 key) {
		this.requestId = requestId;
		this.key = key;
	}

}
