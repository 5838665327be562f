package org.baobabknot.record;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Durable claims of idempotency keys of one service. All claims that wait for a bucket
 * are written together in one compare-and-swap, and each bucket has at most one operation
 * at the store at a time. A claim counts only after a compare-and-swap that wrote it
 * succeeded, or after a read found exactly this claim in the store; so at most one agent
 * holds the claim of a key, whatever the agents believe about each other. The book
 * carries out nothing itself: its methods return commands, and the results come back as
 * further calls. Thread-safe.
 */
public final class ClaimBook {

	private final Object lock = new Object();

	private final String instance;

	private final long incarnation;

	private final ClaimSettings settings;

	private final Map<Integer, ClaimBucket> buckets = new HashMap<>();

	private final Map<Hash128, Integer> waiting = new HashMap<>();

	private long nextSequence = 1;

	private long nextOperation = 1;

	/**
	 * Creates a book without claims.
	 * @param instance instance name of this agent
	 * @param incarnation incarnation of this agent
	 * @param settings bounds
	 */
	public ClaimBook(String instance, long incarnation, ClaimSettings settings) {
		if (instance.isEmpty() || instance.indexOf(' ') >= 0 || instance.indexOf('\n') >= 0) {
			throw new IllegalArgumentException("expected an instance name without blanks, got " + instance);
		}
		this.instance = instance;
		this.incarnation = incarnation;
		this.settings = settings;
	}

	/**
	 * Asks for the claim of a key. The answer is a {@code Granted},
	 * {@code ClaimedElsewhere} or {@code Denied} command with the request id, now or
	 * later.
	 * @param requestId the request
	 * @param key hash of service, workspace and idempotency key
	 * @param time monotonic and wall-clock time
	 * @return what to do next
	 */
	public List<ClaimCommand> claim(Hash128 requestId, Hash128 key, ClaimTime time) {
		synchronized (this.lock) {
			int number = key.bucket(this.settings.buckets());
			ClaimBucket bucket = this.buckets.computeIfAbsent(number, (absent) -> new ClaimBucket(number));
			if (this.waiting.putIfAbsent(requestId, number) != null) {
				return List.of();
			}
			bucket.pending.add(new PendingClaim(requestId, key));
			return advance(bucket, time);
		}
	}

	/**
	 * Gives up a request that waits for its claim. No further command names it.
	 * @param requestId the request
	 */
	public void withdraw(Hash128 requestId) {
		synchronized (this.lock) {
			Integer number = this.waiting.remove(requestId);
			ClaimBucket bucket = (number != null) ? this.buckets.get(number) : null;
			if (bucket != null) {
				bucket.remove(requestId);
			}
		}
	}

	/**
	 * Takes in the result of a read.
	 * @param command the command
	 * @param result the result
	 * @param time monotonic and wall-clock time
	 * @return what to do next
	 */
	public List<ClaimCommand> readDone(ClaimCommand.ReadBucket command, StoreRead result, ClaimTime time) {
		synchronized (this.lock) {
			ClaimBucket bucket = bucketOf(command.bucket());
			if (bucket.operation != command.operation()) {
				return List.of();
			}
			bucket.operation = 0;
			List<ClaimCommand> commands = new ArrayList<>();
			if (result instanceof StoreRead.Failed) {
				bucket.forget();
				denyAll(bucket, ClaimCommand.DenialReason.STORE_UNAVAILABLE, commands);
				return commands;
			}
			try {
				bucket.learn(result);
			}
			catch (IllegalArgumentException ex) {
				bucket.forget();
				denyAll(bucket, ClaimCommand.DenialReason.UNREADABLE, commands);
				return commands;
			}
			for (PendingClaim settled : bucket.settle()) {
				grant(settled, commands);
			}
			commands.addAll(advance(bucket, time));
			return commands;
		}
	}

	/**
	 * Takes in the result of a write.
	 * @param command the command
	 * @param result the result
	 * @param time monotonic and wall-clock time
	 * @return what to do next
	 */
	public List<ClaimCommand> writeDone(ClaimCommand.WriteBucket command, StoreWrite result, ClaimTime time) {
		synchronized (this.lock) {
			ClaimBucket bucket = bucketOf(command.bucket());
			if (bucket.operation != command.operation()) {
				return List.of();
			}
			bucket.operation = 0;
			List<ClaimCommand> commands = new ArrayList<>();
			if (result instanceof StoreWrite.Written written) {
				bucket.wrote(written.version());
				for (PendingClaim granted : bucket.takeBatch()) {
					grant(granted, commands);
				}
			}
			else if (result instanceof StoreWrite.NotWritten) {
				bucket.forget();
				for (PendingClaim denied : bucket.takeBatch()) {
					deny(denied, ClaimCommand.DenialReason.STORE_UNAVAILABLE, commands);
				}
			}
			else {
				bucket.forget();
			}
			commands.addAll(advance(bucket, time));
			return commands;
		}
	}

	/**
	 * Takes in what another agent said about its claim.
	 * @param command the command
	 * @param resolution the answer; {@code Unknown} when the agent or its incarnation is
	 * gone
	 * @param time monotonic and wall-clock time
	 * @return what to do next
	 */
	public List<ClaimCommand> resolved(ClaimCommand.ResolveAt command, Resolution resolution, ClaimTime time) {
		synchronized (this.lock) {
			Integer number = this.waiting.get(command.requestId());
			ClaimBucket bucket = (number != null) ? this.buckets.get(number) : null;
			PendingClaim asked = (bucket != null) ? bucket.takeAsking(command.requestId()) : null;
			if (bucket == null || asked == null) {
				return List.of();
			}
			if (resolution instanceof Resolution.NotRun) {
				asked.replaceable = command.claim();
				bucket.pending.add(asked);
				return advance(bucket, time);
			}
			this.waiting.remove(command.requestId());
			return List.of(new ClaimCommand.ClaimedElsewhere(command.requestId(), command.claim(), resolution));
		}
	}

	/**
	 * Goes on with a bucket whose write interval has passed.
	 * @param bucket the bucket
	 * @param time monotonic and wall-clock time
	 * @return what to do next
	 */
	public List<ClaimCommand> wake(int bucket, ClaimTime time) {
		synchronized (this.lock) {
			ClaimBucket woken = bucketOf(bucket);
			woken.wakeRequested = false;
			return advance(woken, time);
		}
	}

	/**
	 * Returns the number of requests that wait for a claim.
	 * @return the number of requests
	 */
	public int waiting() {
		synchronized (this.lock) {
			return this.waiting.size();
		}
	}

	private List<ClaimCommand> advance(ClaimBucket bucket, ClaimTime time) {
		List<ClaimCommand> commands = new ArrayList<>();
		if (bucket.operation != 0 || (bucket.pending.isEmpty() && bucket.batch.isEmpty())) {
			return commands;
		}
		if (!bucket.known) {
			bucket.operation = this.nextOperation++;
			commands.add(new ClaimCommand.ReadBucket(bucket.number, bucket.operation));
			return commands;
		}
		long due = bucket.lastWriteNanos + this.settings.writeIntervalNanos();
		if (bucket.everWrote && due - time.nanos() > 0) {
			if (!bucket.wakeRequested) {
				bucket.wakeRequested = true;
				commands.add(new ClaimCommand.WakeAt(bucket.number, due));
			}
			return commands;
		}
		write(bucket, time, commands);
		return commands;
	}

	private void write(ClaimBucket bucket, ClaimTime time, List<ClaimCommand> commands) {
		bucket.draft(time.seconds(), this.settings.retentionSeconds());
		List<PendingClaim> candidates = new ArrayList<>(bucket.pending);
		bucket.pending.clear();
		for (PendingClaim candidate : candidates) {
			place(bucket, candidate, time, commands);
		}
		if (bucket.batch.isEmpty()) {
			return;
		}
		bucket.operation = this.nextOperation++;
		bucket.everWrote = true;
		bucket.lastWriteNanos = time.nanos();
		commands.add(new ClaimCommand.WriteBucket(bucket.number, bucket.operation, bucket.version,
				ClaimText.write(bucket.draft.values())));
	}

	// An own claim that is found here belongs to an earlier request with the key that
	// was refused before it was handed over; otherwise the request record would have
	// known the key.
	private void place(ClaimBucket bucket, PendingClaim candidate, ClaimTime time, List<ClaimCommand> commands) {
		Claim found = bucket.draft.get(candidate.key);
		boolean free = found == null || found.equals(candidate.replaceable)
				|| found.madeBy(this.instance, this.incarnation);
		if (!free) {
			bucket.asking.add(candidate);
			commands.add(new ClaimCommand.ResolveAt(candidate.requestId, found));
			return;
		}
		Claim claim = new Claim(candidate.key, this.instance, this.incarnation, this.nextSequence++, time.seconds());
		if (!bucket.tryPlace(claim, this.settings.maxValueBytes())) {
			deny(candidate, ClaimCommand.DenialReason.BUCKET_FULL, commands);
			return;
		}
		candidate.claim = claim;
		bucket.batch.add(candidate);
	}

	private void grant(PendingClaim granted, List<ClaimCommand> commands) {
		if (this.waiting.remove(granted.requestId) != null) {
			commands.add(new ClaimCommand.Granted(granted.requestId));
		}
	}

	private void deny(PendingClaim denied, ClaimCommand.DenialReason reason, List<ClaimCommand> commands) {
		if (this.waiting.remove(denied.requestId) != null) {
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

	private ClaimBucket bucketOf(int number) {
		ClaimBucket bucket = this.buckets.get(number);
		if (bucket == null) {
			throw new IllegalArgumentException("no operation was asked for in bucket " + number);
		}
		return bucket;
	}

}
