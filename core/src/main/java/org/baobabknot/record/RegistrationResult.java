package org.baobabknot.record;

/**
 * Answer of {@link RequestRecord#register}.
 */
public sealed interface RegistrationResult {

	/**
	 * The request was not seen before and is recorded now.
	 */
	record Registered() implements RegistrationResult {

	}

	/**
	 * The same request or key is recorded and has not ended.
	 */
	record Running() implements RegistrationResult {

	}

	/**
	 * The same request or key ran.
	 *
	 * @param response the answer of the target
	 */
	record Ran(StoredResponse response) implements RegistrationResult {

	}

	/**
	 * The same request or key was handed to the target, and its outcome is not known.
	 */
	record OutcomeUnknown() implements RegistrationResult {

	}

	/**
	 * The request was resolved as not run before it arrived and must not run.
	 */
	record Tombstoned() implements RegistrationResult {

	}

	/**
	 * The key came with another request before.
	 */
	record KeyReused() implements RegistrationResult {

	}

	/**
	 * The record is full of requests that are within their retention.
	 */
	record RecordFull() implements RegistrationResult {

	}

}
