package org.baobabknot.record;

/**
 * Result of writing a bucket by compare-and-swap.
 */
public sealed interface BucketWriteResult {

	/**
	 * The value was written.
	 *
	 * @param version the new version
	 */
	record Written(long version) implements BucketWriteResult {

	}

	/**
	 * The store has another version than expected; nothing was written.
	 */
	record Conflict() implements BucketWriteResult {

	}

	/**
	 * The store certainly did not write the value.
	 */
	record NotWritten() implements BucketWriteResult {

	}

	/**
	 * The response was lost. The value may have been written or may still be written
	 * later.
	 */
	record OutcomeUnknown() implements BucketWriteResult {

	}

}
