package org.baobabknot.record;

/**
 * Result of {@link RequestRecord#register}: whether the request is new.
 */
public sealed interface RegistrationResult {

	/**
	 * The request was not recorded before and is recorded now.
	 */
	record Registered() implements RegistrationResult {

	}

	/**
	 * A request with the same id or key is recorded and has not ended.
	 */
	record Running() implements RegistrationResult {

	}

	/**
	 * A request with the same id or key has run.
	 *
	 * @param response the response of the target
	 */
	record Ran(StoredResponse response) implements RegistrationResult {

	}

	/**
	 * A request with the same id or key was handed to the target, and its outcome is
	 * unknown.
	 */
	record OutcomeUnknown() implements RegistrationResult {

	}

	/**
	 * The request was resolved as not run before it arrived and must not run.
	 */
	record Tombstoned() implements RegistrationResult {

	}

	/**
	 * The key is recorded for a request with different content.
	 */
	record KeyReused() implements RegistrationResult {

	}

	/**
	 * The record has reached its capacity, and all its requests are within their
	 * retention.
	 */
	record RecordFull() implements RegistrationResult {

	}

}
