package org.baobabknot.record;

/**
 * Command that a {@link ClaimRegistry} returns to its caller. The caller must execute
 * commands in order.
 */
public sealed interface ClaimCommand {

	/**
	 * Read the value of a bucket and report the result with
	 * {@link ClaimRegistry#onReadResult}.
	 *
	 * @param bucket the bucket
	 * @param operation number to be passed back with the result
	 */
	record ReadBucket(int bucket, long operation) implements ClaimCommand {

	}

	/**
	 * Write the value of a bucket by compare-and-swap and report the result with
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
	 * Request the outcome of the request with the key from the agent that holds the
	 * claim, and report it with {@link ClaimRegistry#onResolution}.
	 *
	 * @param requestId the request whose claim is pending
	 * @param claim the claim of the other agent
	 */
	record ResolveClaim(Hash128 requestId, Claim claim) implements ClaimCommand {

	}

	/**
	 * Call {@link ClaimRegistry#wakeUp} at the given time.
	 *
	 * @param bucket the bucket
	 * @param atNanos monotonic time of the call
	 */
	record ScheduleWakeUp(int bucket, long atNanos) implements ClaimCommand {

	}

	/**
	 * The request holds the claim and may be handed to the target.
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
	 * @param resolution outcome of the request with the key at that agent
	 */
	record ClaimedElsewhere(Hash128 requestId, Claim claim, Resolution resolution) implements ClaimCommand {

	}

	/**
	 * The request holds no claim and has to be refused as not run.
	 *
	 * @param requestId the request
	 * @param reason why the claim was denied
	 */
	record Denied(Hash128 requestId, DenialReason reason) implements ClaimCommand {

	}

	/**
	 * Reasons for a denial.
	 */
	enum DenialReason {

		/**
		 * The store did not respond or refused the operation.
		 */
		STORE_UNAVAILABLE,

		/**
		 * The bucket has no space left for another claim; all its claims are within their
		 * retention.
		 */
		BUCKET_FULL,

		/**
		 * The value of the bucket is not in the format of {@link ClaimCodec}.
		 */
		UNREADABLE

	}

}
