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

	private static final String NOT_RUN = "urn:baobabknot:not-run:";

	private static final String OUTCOME_UNKNOWN = "urn:baobabknot:unknown";

	/**
	 * Classifies an answer.
	 * @param request the request
	 * @param answer its answer
	 * @return the outcome
	 */
	public static LoadOutcome of(LoadRequest request, Answer answer) {
		if (!answer.whole()) {
			return LOST;
		}
		if (answer.status() >= 200 && answer.status() < 300) {
			return request.check().fault(answer).isEmpty() ? WHOLE : WRONG;
		}
		String problem = answer.text();
		if (problem.contains(NOT_RUN)) {
			return REFUSED;
		}
		return problem.contains(OUTCOME_UNKNOWN) ? UNKNOWN : LOST;
	}

}
