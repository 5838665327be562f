package org.baobabknot.record;

/**
 * Outcome of a request as resolved by the agent to which it was sent.
 */
public sealed interface Resolution {

	/**
	 * The request has run.
	 *
	 * @param response the response of the target
	 */
	record Ran(StoredResponse response) implements Resolution {

	}

	/**
	 * The request was handed to the target and has not ended.
	 */
	record Running() implements Resolution {

	}

	/**
	 * The request did not run and will be refused from now on.
	 */
	record NotRun() implements Resolution {

	}

	/**
	 * It is not known whether the request ran.
	 */
	record Unknown() implements Resolution {

	}

}
