package org.baobabknot.record;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Record of the non-idempotent requests that reached one agent, by which each of them is
 * handed to the target at most once. Requests are found by their id and by their
 * idempotency key. An ended request is kept for the retention; a full record refuses new
 * requests and never evicts a request early. Thread-safe.
 */
public final class RequestRecord {

	private final Object lock = new Object();

	private final RecordSettings settings;

	private final long incarnation;

	private final Map<Hash128, Entry> byId = new HashMap<>();

	private final Map<Hash128, Entry> byKey = new HashMap<>();

	/**
	 * Ended requests, in the order in which their retention passes.
	 */
	private final Deque<Entry> ended = new ArrayDeque<>();

	/**
	 * Ended requests whose body is kept, oldest first.
	 */
	private final Deque<Entry> withBody = new ArrayDeque<>();

	private long bodyBytes;

	/**
	 * Creates an empty record.
	 * @param settings bounds of the record
	 * @param incarnation incarnation of this agent process
	 */
	public RequestRecord(RecordSettings settings, long incarnation) {
		this.settings = settings;
		this.incarnation = incarnation;
	}

	/**
	 * Records a request that arrived.
	 * @param requestId id of the request
	 * @param key hash of service, workspace and idempotency key, if the caller sent one
	 * @param fingerprint hash of the content of the request, compared when the key
	 * repeats
	 * @param nowNanos monotonic time
	 * @return whether the request is new, and what is known of it otherwise
	 */
	public Begin begin(Hash128 requestId, @Nullable Hash128 key, Hash128 fingerprint, long nowNanos) {
		synchronized (this.lock) {
			evict(nowNanos);
			Entry known = this.byId.get(requestId);
			if (known == null && key != null) {
				known = this.byKey.get(key);
				if (known != null && !known.fingerprint.equals(fingerprint)) {
					return new Begin.KeyReused();
				}
			}
			if (known != null) {
				return known.begin();
			}
			if (this.byId.size() >= this.settings.capacity()) {
				return new Begin.Full();
			}
			Entry entry = new Entry(requestId, key, fingerprint, State.RECEIVED);
			this.byId.put(requestId, entry);
			if (key != null) {
				this.byKey.put(key, entry);
			}
			return new Begin.Fresh();
		}
	}

	/**
	 * Notes that the claim for the key of a request is in the store.
	 * @param requestId id of the request
	 */
	public void claimed(Hash128 requestId) {
		synchronized (this.lock) {
			Entry entry = this.byId.get(requestId);
			if (entry != null && entry.state == State.RECEIVED) {
				entry.state = State.CLAIMED;
			}
		}
	}

	/**
	 * Notes that a request is about to be handed to the target. Only after this call
	 * returned true may the request be sent to the target, once.
	 * @param requestId id of the request
	 * @return whether the request may be handed over; false when it was resolved as not
	 * run or was handed over before
	 */
	public boolean tryHandOver(Hash128 requestId) {
		synchronized (this.lock) {
			Entry entry = this.byId.get(requestId);
			if (entry == null || (entry.state != State.RECEIVED && entry.state != State.CLAIMED)) {
				return false;
			}
			entry.state = State.HANDED_OVER;
			return true;
		}
	}

	/**
	 * Forgets a request that is refused before it was handed over, so that it may arrive
	 * again. Has no effect on a request that was handed over or resolved.
	 * @param requestId id of the request
	 */
	public void withdrawn(Hash128 requestId) {
		synchronized (this.lock) {
			Entry entry = this.byId.get(requestId);
			if (entry != null && (entry.state == State.RECEIVED || entry.state == State.CLAIMED)) {
				remove(entry);
			}
		}
	}

	/**
	 * Forgets a request that was handed over but that the target certainly did not run.
	 * @param requestId id of the request
	 */
	public void notRun(Hash128 requestId) {
		synchronized (this.lock) {
			Entry entry = this.byId.get(requestId);
			if (entry != null && entry.state == State.HANDED_OVER) {
				remove(entry);
			}
		}
	}

	/**
	 * Keeps the answer of the target to a request that was handed over.
	 * @param requestId id of the request
	 * @param result the answer
	 * @param nowNanos monotonic time
	 */
	public void finished(Hash128 requestId, StoredResult result, long nowNanos) {
		synchronized (this.lock) {
			Entry entry = this.byId.get(requestId);
			if (entry == null || entry.state != State.HANDED_OVER) {
				return;
			}
			boolean keep = result.size() <= this.settings.maxResultBytes();
			entry.result = keep ? result : result.withoutBody();
			end(entry, State.RAN, nowNanos);
			if (keep && result.replayable()) {
				this.bodyBytes += result.size();
				this.withBody.addLast(entry);
				dropOldBodies();
			}
		}
	}

	/**
	 * Notes that a request was handed over and its outcome cannot be known.
	 * @param requestId id of the request
	 * @param nowNanos monotonic time
	 */
	public void outcomeUnknown(Hash128 requestId, long nowNanos) {
		synchronized (this.lock) {
			Entry entry = this.byId.get(requestId);
			if (entry != null && entry.state == State.HANDED_OVER) {
				end(entry, State.OUTCOME_UNKNOWN, nowNanos);
			}
		}
	}

	/**
	 * Tells an entry what became of a request. A request that was not handed over is
	 * refused from then on.
	 * @param requestId id of the request
	 * @param askedIncarnation incarnation of the agent that the request was sent to
	 * @param nowNanos monotonic time
	 * @return what became of the request
	 */
	public Resolution resolve(Hash128 requestId, long askedIncarnation, long nowNanos) {
		synchronized (this.lock) {
			if (askedIncarnation != this.incarnation) {
				return new Resolution.Unknown();
			}
			evict(nowNanos);
			Entry entry = this.byId.get(requestId);
			if (entry == null) {
				if (this.byId.size() >= this.settings.capacity()) {
					return new Resolution.Unknown();
				}
				entry = new Entry(requestId, null, requestId, State.RECEIVED);
				this.byId.put(requestId, entry);
			}
			if (entry.state == State.RECEIVED || entry.state == State.CLAIMED) {
				bury(entry, nowNanos);
			}
			return entry.resolution();
		}
	}

	/**
	 * Tells another agent what became of a key that this agent claimed. A key that is not
	 * recorded was claimed for a request that was refused before it was handed over.
	 * @param key hash of service, workspace and idempotency key
	 * @param askedIncarnation incarnation of the agent in the claim
	 * @param nowNanos monotonic time
	 * @return what became of the request with the key
	 */
	public Resolution resolveKey(Hash128 key, long askedIncarnation, long nowNanos) {
		synchronized (this.lock) {
			if (askedIncarnation != this.incarnation) {
				return new Resolution.Unknown();
			}
			evict(nowNanos);
			Entry entry = this.byKey.get(key);
			return (entry != null) ? entry.resolution() : new Resolution.NotRun();
		}
	}

	/**
	 * Returns the number of recorded requests.
	 * @return the number of recorded requests
	 */
	public int size() {
		synchronized (this.lock) {
			return this.byId.size();
		}
	}

	// The key of a buried request is released: the tombstone refuses the id only.
	private void bury(Entry entry, long nowNanos) {
		if (entry.key != null) {
			this.byKey.remove(entry.key, entry);
		}
		end(entry, State.TOMBSTONE, nowNanos);
	}

	private void end(Entry entry, State state, long nowNanos) {
		entry.state = state;
		entry.endedNanos = nowNanos;
		this.ended.addLast(entry);
	}

	private void evict(long nowNanos) {
		while (!this.ended.isEmpty()
				&& nowNanos - this.ended.peekFirst().endedNanos >= this.settings.retentionNanos()) {
			remove(this.ended.removeFirst());
		}
	}

	private void remove(Entry entry) {
		this.byId.remove(entry.id, entry);
		if (entry.key != null) {
			this.byKey.remove(entry.key, entry);
		}
		dropBody(entry);
		if (this.withBody.peekFirst() == entry) {
			this.withBody.removeFirst();
		}
	}

	private void dropOldBodies() {
		while (this.bodyBytes > this.settings.maxTotalBytes() && !this.withBody.isEmpty()) {
			dropBody(this.withBody.removeFirst());
		}
	}

	private void dropBody(Entry entry) {
		if (entry.result != null && entry.result.replayable()) {
			this.bodyBytes -= entry.result.size();
			entry.result = entry.result.withoutBody();
		}
	}

	private enum State {

		RECEIVED, CLAIMED, HANDED_OVER, RAN, OUTCOME_UNKNOWN, TOMBSTONE

	}

	private static final class Entry {

		private final Hash128 id;

		@Nullable private final Hash128 key;

		private final Hash128 fingerprint;

		private State state;

		private long endedNanos;

		@Nullable private StoredResult result;

		private Entry(Hash128 id, @Nullable Hash128 key, Hash128 fingerprint, State state) {
			this.id = id;
			this.key = key;
			this.fingerprint = fingerprint;
			this.state = state;
		}

		private Begin begin() {
			return switch (this.state) {
				case RECEIVED, CLAIMED, HANDED_OVER -> new Begin.Running();
				case RAN -> (this.result != null) ? new Begin.Ran(this.result) : new Begin.OutcomeUnknown();
				case OUTCOME_UNKNOWN -> new Begin.OutcomeUnknown();
				case TOMBSTONE -> new Begin.Tombstoned();
			};
		}

		private Resolution resolution() {
			return switch (this.state) {
				case RECEIVED, CLAIMED, HANDED_OVER -> new Resolution.Running();
				case RAN -> (this.result != null) ? new Resolution.Ran(this.result) : new Resolution.Unknown();
				case OUTCOME_UNKNOWN -> new Resolution.Unknown();
				case TOMBSTONE -> new Resolution.NotRun();
			};
		}

	}

}
