package org.baobabknot.record;

/**
 * What the caller of a {@link ClaimRegistry} has to do next. Commands are carried out in
 * order.
 */
public sealed interface ClaimCommand {

	/**
	 * Read the value of a bucket and report with {@link ClaimRegistry#onReadResult}.
	 *
	 * @param bucket the bucket
	 * @param operation number to be passed back with the result
	 */
	record ReadBucket(int bucket, long operation) implements ClaimCommand {

	}

	/**
	 * Write the value of a bucket by compare-and-swap and report with
	 * {@link ClaimRegistry#onWriteResult}.
	 *
	 * @param bucket the bucket
	 * @param operation number to be passed back with the result
	 * @param expectedVersion version that the store must have, 0 for no value
	 * @param value the new value
	 */
	record WriteBucket(int bucket, long operation, long expectedVersion, byte[] value) implements ClaimCommand {

	}

	/**
	 * Ask another agent what became of the key and report with
	 * {@link ClaimRegistry#onResolution}.
	 *
	 * @param requestId the waiting request
	 * @param claim the claim of the other agent
	 */
	record ResolveClaim(Hash128 requestId, Claim claim) implements ClaimCommand {

	}

	/**
	 * Call {@link ClaimRegistry#wakeUp} at a time.
	 *
	 * @param bucket the bucket
	 * @param atNanos monotonic time of the call
	 */
	record ScheduleWakeUp(int bucket, long atNanos) implements ClaimCommand {

	}

	/**
	 * The request holds the claim and may be handed over.
	 *
	 * @param requestId the request
	 */
	record Granted(Hash128 requestId) implements ClaimCommand {

	}

	/**
	 * The key was claimed by another agent, or by an earlier incarnation of this one.
	 *
	 * @param requestId the request, which must not run here
	 * @param claim the claim of the other agent
	 * @param resolution what became of the request with the key
	 */
	record ClaimedElsewhere(Hash128 requestId, Claim claim, Resolution resolution) implements ClaimCommand {

	}

	/**
	 * The request holds no claim and has to be refused as not run.
	 *
	 * @param requestId the request
	 * @param reason why
	 */
	record Denied(Hash128 requestId, DenialReason reason) implements ClaimCommand {

	}

	/**
	 * Reasons for a denial.
	 */
	enum DenialReason {

		/**
		 * The store did not answer or refused.
		 */
		STORE_UNAVAILABLE,

		/**
		 * The bucket is full of claims within their retention.
		 */
		BUCKET_FULL,

		/**
		 * The bucket holds a value that is not in the form of claims.
		 */
		UNREADABLE

	}

}
