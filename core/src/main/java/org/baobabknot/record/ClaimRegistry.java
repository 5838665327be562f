package org.baobabknot.record;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Obtains durable claims of the idempotency keys of one service. All claims that are
 * pending for a bucket are written together by one compare-and-swap, and each bucket has
 * at most one store operation in flight. A claim is granted only after a compare-and-swap
 * that wrote it succeeded, or after a read returned exactly this claim. So at most one
 * agent holds the claim of a key, even if the agents' views of the members differ. This
 * class performs no I/O: its methods return commands, whose results the caller reports by
 * further calls. Thread-safe.
 */
public final class ClaimRegistry {

	private final Object lock = new Object();

	private final String instance;

	private final long incarnation;

	private final ClaimSettings settings;

	private final Map<Integer, ClaimBucket> buckets = new HashMap<>();

	private final Map<Hash128, Integer> pendingRequests = new HashMap<>();

	private long nextSequence = 1;

	private long nextOperation = 1;

	/**
	 * Creates a registry without claims.
	 * @param instance instance name of this agent
	 * @param incarnation incarnation of this agent
	 * @param settings bounds
	 */
	public ClaimRegistry(String instance, long incarnation, ClaimSettings settings) {
		if (instance.isEmpty() || instance.indexOf(' ') >= 0 || instance.indexOf('\n') >= 0) {
			throw new IllegalArgumentException("expected an instance name without spaces, got " + instance);
		}
		this.instance = instance;
		this.incarnation = incarnation;
		this.settings = settings;
	}

	/**
	 * Requests the claim of a key. The outcome is a {@code Granted}, {@code
	 * ClaimedElsewhere} or {@code Denied} command with the request id, returned by this
	 * or a later call.
	 * @param requestId the request
	 * @param key hash of service, workspace and idempotency key
	 * @param time monotonic and wall-clock time
	 * @return what to do next
	 */
	public List<ClaimCommand> requestClaim(Hash128 requestId, Hash128 key, ClaimTime time) {
		synchronized (this.lock) {
			int bucketNumber = key.bucket(this.settings.buckets());
			ClaimBucket bucket = this.buckets.computeIfAbsent(bucketNumber, (absent) -> new ClaimBucket(bucketNumber));
			if (this.pendingRequests.putIfAbsent(requestId, bucketNumber) != null) {
				return List.of();
			}
			bucket.pending.add(new PendingClaim(requestId, key));
			return advance(bucket, time);
		}
	}

	/**
	 * Removes a request whose claim is pending. No further outcome is returned for it.
	 * @param requestId the request
	 */
	public void cancel(Hash128 requestId) {
		synchronized (this.lock) {
			Integer bucketNumber = this.pendingRequests.remove(requestId);
			ClaimBucket bucket = (bucketNumber != null) ? this.buckets.get(bucketNumber) : null;
			if (bucket != null) {
				bucket.remove(requestId);
			}
		}
	}

	/**
	 * Processes the result of a read.
	 * @param command the command
	 * @param result the result
	 * @param time monotonic and wall-clock time
	 * @return what to do next
	 */
	public List<ClaimCommand> onReadResult(ClaimCommand.ReadBucket command, BucketReadResult result, ClaimTime time) {
		synchronized (this.lock) {
			ClaimBucket bucket = bucketOf(command.bucket());
			if (bucket.operationId != command.operation()) {
				return List.of();
			}
			bucket.operationId = 0;
			List<ClaimCommand> commands = new ArrayList<>();
			if (result instanceof BucketReadResult.Failed) {
				bucket.invalidate();
				denyAll(bucket, ClaimCommand.DenialReason.STORE_UNAVAILABLE, commands);
				return commands;
			}
			try {
				bucket.load(result);
			}
			catch (IllegalArgumentException ex) {
				bucket.invalidate();
				denyAll(bucket, ClaimCommand.DenialReason.UNREADABLE, commands);
				return commands;
			}
			for (PendingClaim confirmed : bucket.takeConfirmed()) {
				grant(confirmed, commands);
			}
			commands.addAll(advance(bucket, time));
			return commands;
		}
	}

	/**
	 * Processes the result of a write.
	 * @param command the command
	 * @param result the result
	 * @param time monotonic and wall-clock time
	 * @return what to do next
	 */
	public List<ClaimCommand> onWriteResult(ClaimCommand.WriteBucket command, BucketWriteResult result,
			ClaimTime time) {
		synchronized (this.lock) {
			ClaimBucket bucket = bucketOf(command.bucket());
			if (bucket.operationId != command.operation()) {
				return List.of();
			}
			bucket.operationId = 0;
			List<ClaimCommand> commands = new ArrayList<>();
			if (result instanceof BucketWriteResult.Written written) {
				bucket.adoptDraft(written.version());
				for (PendingClaim granted : bucket.takeBatch()) {
					grant(granted, commands);
				}
			}
			else if (result instanceof BucketWriteResult.NotWritten) {
				bucket.invalidate();
				for (PendingClaim denied : bucket.takeBatch()) {
					deny(denied, ClaimCommand.DenialReason.STORE_UNAVAILABLE, commands);
				}
			}
			else {
				bucket.invalidate();
			}
			commands.addAll(advance(bucket, time));
			return commands;
		}
	}

	/**
	 * Processes the resolution of another agent's claim.
	 * @param command the command
	 * @param resolution the resolution; {@code Unknown} when the agent or its incarnation
	 * no longer exists
	 * @param time monotonic and wall-clock time
	 * @return what to do next
	 */
	public List<ClaimCommand> onResolution(ClaimCommand.ResolveClaim command, Resolution resolution, ClaimTime time) {
		synchronized (this.lock) {
			Integer bucketNumber = this.pendingRequests.get(command.requestId());
			ClaimBucket bucket = (bucketNumber != null) ? this.buckets.get(bucketNumber) : null;
			PendingClaim pendingClaim = (bucket != null) ? bucket.takeResolving(command.requestId()) : null;
			if (bucket == null || pendingClaim == null) {
				return List.of();
			}
			if (resolution instanceof Resolution.NotRun) {
				pendingClaim.replaceableClaim = command.claim();
				bucket.pending.add(pendingClaim);
				return advance(bucket, time);
			}
			this.pendingRequests.remove(command.requestId());
			return List.of(new ClaimCommand.ClaimedElsewhere(command.requestId(), command.claim(), resolution));
		}
	}

	/**
	 * Continues a bucket whose write interval has passed.
	 * @param bucketNumber the bucket
	 * @param time monotonic and wall-clock time
	 * @return what to do next
	 */
	public List<ClaimCommand> wakeUp(int bucketNumber, ClaimTime time) {
		synchronized (this.lock) {
			ClaimBucket bucketState = bucketOf(bucketNumber);
			bucketState.wakeUpScheduled = false;
			return advance(bucketState, time);
		}
	}

	/**
	 * Returns the number of requests whose claim is pending.
	 * @return the number of requests
	 */
	public int pendingRequests() {
		synchronized (this.lock) {
			return this.pendingRequests.size();
		}
	}

	private List<ClaimCommand> advance(ClaimBucket bucket, ClaimTime time) {
		List<ClaimCommand> commands = new ArrayList<>();
		if (bucket.operationId != 0 || (bucket.pending.isEmpty() && bucket.batch.isEmpty())) {
			return commands;
		}
		if (!bucket.loaded) {
			bucket.operationId = this.nextOperation++;
			commands.add(new ClaimCommand.ReadBucket(bucket.number, bucket.operationId));
			return commands;
		}
		long nextWriteNanos = bucket.lastWriteNanos + this.settings.writeIntervalNanos();
		if (bucket.hasWritten && nextWriteNanos - time.monotonicNanos() > 0) {
			if (!bucket.wakeUpScheduled) {
				bucket.wakeUpScheduled = true;
				commands.add(new ClaimCommand.ScheduleWakeUp(bucket.number, nextWriteNanos));
			}
			return commands;
		}
		write(bucket, time, commands);
		return commands;
	}

	private void write(ClaimBucket bucket, ClaimTime time, List<ClaimCommand> commands) {
		bucket.draft(time.epochSeconds(), this.settings.retentionSeconds());
		List<PendingClaim> candidates = new ArrayList<>(bucket.pending);
		bucket.pending.clear();
		for (PendingClaim candidate : candidates) {
			addToWrite(bucket, candidate, time, commands);
		}
		if (bucket.batch.isEmpty()) {
			return;
		}
		bucket.operationId = this.nextOperation++;
		bucket.hasWritten = true;
		bucket.lastWriteNanos = time.monotonicNanos();
		commands.add(new ClaimCommand.WriteBucket(bucket.number, bucket.operationId, bucket.version,
				ClaimCodec.encode(bucket.draft.values())));
	}

	// A stored claim of this incarnation belongs to an earlier request with the key that
	// was refused before it was handed over; otherwise the key would be in the request
	// record. It may therefore be replaced.
	private void addToWrite(ClaimBucket bucket, PendingClaim candidate, ClaimTime time, List<ClaimCommand> commands) {
		Claim storedClaim = bucket.draft.get(candidate.key);
		boolean replaceable = storedClaim == null || storedClaim.equals(candidate.replaceableClaim)
				|| storedClaim.isFrom(this.instance, this.incarnation);
		if (!replaceable) {
			bucket.resolving.add(candidate);
			commands.add(new ClaimCommand.ResolveClaim(candidate.requestId, storedClaim));
			return;
		}
		Claim claim = new Claim(candidate.key, this.instance, this.incarnation, this.nextSequence++,
				time.epochSeconds());
		if (!bucket.tryAddToDraft(claim, this.settings.maxValueBytes())) {
			deny(candidate, ClaimCommand.DenialReason.BUCKET_FULL, commands);
			return;
		}
		candidate.claim = claim;
		bucket.batch.add(candidate);
	}

	private void grant(PendingClaim granted, List<ClaimCommand> commands) {
		if (this.pendingRequests.remove(granted.requestId) != null) {
			commands.add(new ClaimCommand.Granted(granted.requestId));
		}
	}

	private void deny(PendingClaim denied, ClaimCommand.DenialReason reason, List<ClaimCommand> commands) {
		if (this.pendingRequests.remove(denied.requestId) != null) {
			commands.add(new ClaimCommand.Denied(denied.requestId, reason));
		}
	}

	private void denyAll(ClaimBucket bucket, ClaimCommand.DenialReason reason, List<ClaimCommand> commands) {
		for (PendingClaim denied : bucket.takeBatch()) {
			deny(denied, reason, commands);
		}
		for (PendingClaim denied : bucket.pending) {
			deny(denied, reason, commands);
		}
		bucket.pending.clear();
	}

	private ClaimBucket bucketOf(int bucketNumber) {
		ClaimBucket bucket = this.buckets.get(bucketNumber);
		if (bucket == null) {
			throw new IllegalArgumentException("no operation was requested for bucket " + bucketNumber);
		}
		return bucket;
	}

}
