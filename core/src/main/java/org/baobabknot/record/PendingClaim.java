package org.baobabknot.record;

import org.jspecify.annotations.Nullable;

/**
 * A request whose claim has not been granted or denied yet.
 */
final class PendingClaim {

	final Hash128 requestId;

	final Hash128 key;

	/**
	 * Claim that was last added to a write for this request.
	 */
	@Nullable Claim claim;

	/**
	 * Claim of another agent that has resolved its request as not run, so that the claim
	 * may be replaced.
	 */
	@Nullable Claim replaceableClaim;

	PendingClaim(Hash128 requestId, Hash128 key) {
		this.requestId = requestId;
		this.key = key;
	}

}
