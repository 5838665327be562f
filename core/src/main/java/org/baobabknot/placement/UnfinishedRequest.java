package org.baobabknot.placement;

/**
 * How far a request has come that ends without the response of a target, which determines
 * what its caller can be told.
 */
public enum UnfinishedRequest {

	/** It never was at a target and never will be: another process may run it. */
	NOT_RUN,

	/** A target may have run it. */
	MAY_HAVE_RUN,

	/** Its caller has a part of the response, which has to look incomplete. */
	RESPONSE_STARTED;

	/**
	 * Returns how far a request has come.
	 * @param mayHaveRun whether a part of it was sent to a target
	 * @param responseStarted whether its caller has a part of the response
	 * @return how far it has come
	 */
	public static UnfinishedRequest of(boolean mayHaveRun, boolean responseStarted) {
		if (responseStarted) {
			return RESPONSE_STARTED;
		}
		return (mayHaveRun) ? MAY_HAVE_RUN : NOT_RUN;
	}

}
