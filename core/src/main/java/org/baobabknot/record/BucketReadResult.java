package org.baobabknot.record;

/**
 * Result of reading a bucket.
 */
public sealed interface BucketReadResult {

	/**
	 * The bucket has a value.
	 *
	 * @param version version of the value
	 * @param value the value
	 */
	record Value(long version, byte[] value) implements BucketReadResult {

	}

	/**
	 * The bucket has no value.
	 */
	record Absent() implements BucketReadResult {

	}

	/**
	 * The store did not respond or refused the read.
	 */
	record Failed() implements BucketReadResult {

	}

}
