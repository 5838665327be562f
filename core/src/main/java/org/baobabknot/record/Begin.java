package org.baobabknot.record;

/**
 * Answer of {@link RequestRecord#begin}.
 */
public sealed interface Begin {

	/**
	 * The request was not seen before and is recorded now.
	 */
	record Fresh() implements Begin {

	}

	/**
	 * The same request or key is recorded and has not ended.
	 */
	record Running() implements Begin {

	}

	/**
	 * The same request or key ran.
	 *
	 * @param result the answer of the target
	 */
	record Ran(StoredResult result) implements Begin {

	}

	/**
	 * The same request or key was handed to the target, and its outcome is not known.
	 */
	record OutcomeUnknown() implements Begin {

	}

	/**
	 * The request was resolved as not run before it arrived and must not run.
	 */
	record Tombstoned() implements Begin {

	}

	/**
	 * The key came with another request before.
	 */
	record KeyReused() implements Begin {

	}

	/**
	 * The record is full of requests that are within their retention.
	 */
	record Full() implements Begin {

	}

}
