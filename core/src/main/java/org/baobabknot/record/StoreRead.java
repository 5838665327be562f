package org.baobabknot.record;

/**
 * Result of reading a bucket.
 */
public sealed interface StoreRead {

	/**
	 * The bucket has a value.
	 *
	 * @param version version of the value
	 * @param value the value
	 */
	record Value(long version, byte[] value) implements StoreRead {

	}

	/**
	 * The bucket has no value.
	 */
	record Absent() implements StoreRead {

	}

	/**
	 * The store did not answer or refused.
	 */
	record Failed() implements StoreRead {

	}

}
