package org.baobabknot.load;

/**
 * Outcome of a request from the point of view of its caller.
 */
public enum LoadOutcome {

	/** Complete and correct response. */
	WHOLE,

	/** The system states that the request was not run. */
	REFUSED,

	/** The system states that the outcome is unknown. */
	UNKNOWN,

	/** Complete response with wrong content. */
	WRONG,

	/**
	 * Any other outcome: broken connection, incomplete response, timeout or error status.
	 */
	LOST;

	private static final String NOT_RUN_TYPE_PREFIX = "urn:baobabknot:not-run:";

	private static final String OUTCOME_UNKNOWN_TYPE = "urn:baobabknot:unknown";

	/**
	 * Classifies a response.
	 * @param request the request
	 * @param response its response
	 * @return the outcome
	 */
	public static LoadOutcome of(LoadRequest request, LoadResponse response) {
		if (!response.complete()) {
			return LOST;
		}
		if (response.status() >= 200 && response.status() < 300) {
			return request.check().findError(response).isEmpty() ? WHOLE : WRONG;
		}
		String problem = response.text();
		if (problem.contains(NOT_RUN_TYPE_PREFIX)) {
			return REFUSED;
		}
		return problem.contains(OUTCOME_UNKNOWN_TYPE) ? UNKNOWN : LOST;
	}

}
