package org.baobabknot.load;

/**
 * How a request ended, seen by its caller.
 */
public enum LoadOutcome {

	/** Whole and right answer. */
	WHOLE,

	/** The system states that the request was not run. */
	REFUSED,

	/** The system states that the outcome is unknown. */
	UNKNOWN,

	/** Whole answer that is not the right one. */
	WRONG,

	/** Any other end: broken connection, incomplete answer, time-out or error status. */
	LOST;

	private static final String NOT_RUN_TYPE_PREFIX = "urn:baobabknot:not-run:";

	private static final String OUTCOME_UNKNOWN_TYPE = "urn:baobabknot:unknown";

	/**
	 * Classifies an answer.
	 * @param request the request
	 * @param response its answer
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
