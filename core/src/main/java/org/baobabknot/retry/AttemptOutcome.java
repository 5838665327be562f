package org.baobabknot.retry;

/**
 * How an attempt ended, as observed by the entry.
 */
public enum AttemptOutcome {

	/**
	 * The agent refused the request before handing it to the target; another agent may
	 * accept it.
	 */
	REFUSED(true),

	/**
	 * The request was refused for a reason that applies at every agent, for instance a
	 * reused key.
	 */
	REFUSED_EVERYWHERE(false),

	/**
	 * The agent resolved the request as not run and will refuse it from now on.
	 */
	NOT_RUN(true),

	/**
	 * The request was never written to a connection.
	 */
	NOT_SENT(true),

	/**
	 * The request failed at the target after it was handed over.
	 */
	FAILED(false),

	/**
	 * The connection to the agent was lost while the request was in flight.
	 */
	CONNECTION_LOST(false),

	/**
	 * The agent cannot determine whether the request ran.
	 */
	UNKNOWN(false);

	private final boolean notRun;

	AttemptOutcome(boolean notRun) {
		this.notRun = notRun;
	}

	/**
	 * Returns whether the attempt certainly had no effect and another agent may succeed.
	 * @return whether the request can be sent again even if it is not idempotent
	 */
	public boolean notRun() {
		return this.notRun;
	}

}
