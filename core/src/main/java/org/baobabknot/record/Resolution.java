package org.baobabknot.record;

/**
 * Answer to the question what became of a request.
 */
public sealed interface Resolution {

	/**
	 * The request ran.
	 *
	 * @param response the answer of the target
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
