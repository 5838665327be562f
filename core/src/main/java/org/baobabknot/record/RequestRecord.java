package org.baobabknot.record;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Records the non-idempotent requests that reached one agent, so that each is handed to
 * the target at most once. Requests are looked up by their id and by their idempotency
 * key. A request is kept for the retention after it has ended; when the record is full,
 * new requests are refused and no request is evicted early. Thread-safe.
 */
public final class RequestRecord {

	private final Object lock = new Object();

	private final RecordSettings settings;

	private final long incarnation;

	private final Map<Hash128, RecordedRequest> byId = new HashMap<>();

	private final Map<Hash128, RecordedRequest> byKey = new HashMap<>();

	/**
	 * Ended requests, in the order in which their retention ends.
	 */
	private final Deque<RecordedRequest> endedRequests = new ArrayDeque<>();

	/**
	 * Ended requests whose response body is stored, oldest first.
	 */
	private final Deque<RecordedRequest> requestsWithBody = new ArrayDeque<>();

	private long bodyBytes;

	/**
	 * Creates an empty record.
	 * @param settings bounds of the record
	 * @param incarnation incarnation of this agent
	 */
	public RequestRecord(RecordSettings settings, long incarnation) {
		this.settings = settings;
		this.incarnation = incarnation;
	}

	/**
	 * Records a request that has arrived, unless it is recorded already.
	 * @param requestId id of the request
	 * @param key hash of service, workspace and idempotency key, if the caller sent one
	 * @param fingerprint hash of the content of the request, compared when the key
	 * repeats
	 * @param nowNanos monotonic time
	 * @return whether the request is new, otherwise its recorded state
	 */
	public RegistrationResult register(Hash128 requestId, @Nullable Hash128 key, Hash128 fingerprint, long nowNanos) {
		synchronized (this.lock) {
			evict(nowNanos);
			RecordedRequest recorded = this.byId.get(requestId);
			if (recorded == null && key != null) {
				recorded = this.byKey.get(key);
				if (recorded != null && !recorded.fingerprint.equals(fingerprint)) {
					return new RegistrationResult.KeyReused();
				}
			}
			if (recorded != null) {
				return recorded.registrationResult();
			}
			if (this.byId.size() >= this.settings.capacity()) {
				return new RegistrationResult.RecordFull();
			}
			RecordedRequest added = new RecordedRequest(requestId, key, fingerprint, State.RECEIVED);
			this.byId.put(requestId, added);
			if (key != null) {
				this.byKey.put(key, added);
			}
			return new RegistrationResult.Registered();
		}
	}

	/**
	 * Records that the claim for the key of a request is in the store.
	 * @param requestId id of the request
	 */
	public void markClaimed(Hash128 requestId) {
		synchronized (this.lock) {
			RecordedRequest request = this.byId.get(requestId);
			if (request != null && request.state == State.RECEIVED) {
				request.state = State.CLAIMED;
			}
		}
	}

	/**
	 * Records that a request is about to be handed to the target. The request may be sent
	 * to the target once, and only after this call has returned true.
	 * @param requestId id of the request
	 * @return whether the request may be handed over; false when it was resolved as not
	 * run or was handed over before
	 */
	public boolean tryHandOver(Hash128 requestId) {
		synchronized (this.lock) {
			RecordedRequest request = this.byId.get(requestId);
			if (request == null || (request.state != State.RECEIVED && request.state != State.CLAIMED)) {
				return false;
			}
			request.state = State.HANDED_OVER;
			return true;
		}
	}

	/**
	 * Removes a request that is refused before it was handed over, so that it may arrive
	 * again. Has no effect on a request that was handed over or resolved as not run.
	 * @param requestId id of the request
	 */
	public void removeRefused(Hash128 requestId) {
		synchronized (this.lock) {
			RecordedRequest request = this.byId.get(requestId);
			if (request != null && (request.state == State.RECEIVED || request.state == State.CLAIMED)) {
				remove(request);
			}
		}
	}

	/**
	 * Removes a request that was handed over but certainly was not run by the target.
	 * @param requestId id of the request
	 */
	public void removeNotRun(Hash128 requestId) {
		synchronized (this.lock) {
			RecordedRequest request = this.byId.get(requestId);
			if (request != null && request.state == State.HANDED_OVER) {
				remove(request);
			}
		}
	}

	/**
	 * Stores the response of the target to a request that was handed over.
	 * @param requestId id of the request
	 * @param response the response
	 * @param nowNanos monotonic time
	 */
	public void storeResponse(Hash128 requestId, StoredResponse response, long nowNanos) {
		synchronized (this.lock) {
			RecordedRequest request = this.byId.get(requestId);
			if (request == null || request.state != State.HANDED_OVER) {
				return;
			}
			boolean keepBody = response.bodyBytes() <= this.settings.maxBodyBytes();
			request.response = keepBody ? response : response.withoutBody();
			end(request, State.RAN, nowNanos);
			if (keepBody && response.replayable()) {
				this.bodyBytes += response.bodyBytes();
				this.requestsWithBody.addLast(request);
				dropOldestBodies();
			}
		}
	}

	/**
	 * Records that a request was handed over and its outcome cannot be determined.
	 * @param requestId id of the request
	 * @param nowNanos monotonic time
	 */
	public void markOutcomeUnknown(Hash128 requestId, long nowNanos) {
		synchronized (this.lock) {
			RecordedRequest request = this.byId.get(requestId);
			if (request != null && request.state == State.HANDED_OVER) {
				end(request, State.OUTCOME_UNKNOWN, nowNanos);
			}
		}
	}

	/**
	 * Resolves a request on behalf of an entry. A request that was not handed over is
	 * refused from then on.
	 * @param requestId id of the request
	 * @param expectedIncarnation incarnation of the agent that the request was sent to
	 * @param nowNanos monotonic time
	 * @return the outcome of the request
	 */
	public Resolution resolve(Hash128 requestId, long expectedIncarnation, long nowNanos) {
		synchronized (this.lock) {
			if (expectedIncarnation != this.incarnation) {
				return new Resolution.Unknown();
			}
			evict(nowNanos);
			RecordedRequest request = this.byId.get(requestId);
			if (request == null) {
				if (this.byId.size() >= this.settings.capacity()) {
					return new Resolution.Unknown();
				}
				request = new RecordedRequest(requestId, null, requestId, State.RECEIVED);
				this.byId.put(requestId, request);
			}
			if (request.state == State.RECEIVED || request.state == State.CLAIMED) {
				addTombstone(request, nowNanos);
			}
			return request.resolution();
		}
	}

	/**
	 * Resolves a key that this agent claimed, on behalf of another agent. A key that is
	 * not recorded was claimed for a request that was refused before it was handed over.
	 * @param key hash of service, workspace and idempotency key
	 * @param expectedIncarnation incarnation of the agent in the claim
	 * @param nowNanos monotonic time
	 * @return the outcome of the request with the key
	 */
	public Resolution resolveKey(Hash128 key, long expectedIncarnation, long nowNanos) {
		synchronized (this.lock) {
			if (expectedIncarnation != this.incarnation) {
				return new Resolution.Unknown();
			}
			evict(nowNanos);
			RecordedRequest request = this.byKey.get(key);
			return (request != null) ? request.resolution() : new Resolution.NotRun();
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

	// Refuses further requests with the same id. The key is released, because the
	// tombstone applies only to the id.
	private void addTombstone(RecordedRequest request, long nowNanos) {
		if (request.key != null) {
			this.byKey.remove(request.key, request);
		}
		end(request, State.TOMBSTONE, nowNanos);
	}

	private void end(RecordedRequest request, State state, long nowNanos) {
		request.state = state;
		request.endedNanos = nowNanos;
		this.endedRequests.addLast(request);
	}

	private void evict(long nowNanos) {
		while (!this.endedRequests.isEmpty()
				&& nowNanos - this.endedRequests.peekFirst().endedNanos >= this.settings.retentionNanos()) {
			remove(this.endedRequests.removeFirst());
		}
	}

	private void remove(RecordedRequest request) {
		this.byId.remove(request.id, request);
		if (request.key != null) {
			this.byKey.remove(request.key, request);
		}
		dropBody(request);
		if (this.requestsWithBody.peekFirst() == request) {
			this.requestsWithBody.removeFirst();
		}
	}

	private void dropOldestBodies() {
		while (this.bodyBytes > this.settings.maxTotalBodyBytes() && !this.requestsWithBody.isEmpty()) {
			dropBody(this.requestsWithBody.removeFirst());
		}
	}

	private void dropBody(RecordedRequest request) {
		if (request.response != null && request.response.replayable()) {
			this.bodyBytes -= request.response.bodyBytes();
			request.response = request.response.withoutBody();
		}
	}

	private enum State {

		RECEIVED, CLAIMED, HANDED_OVER, RAN, OUTCOME_UNKNOWN, TOMBSTONE

	}

	private static final class RecordedRequest {

		private final Hash128 id;

		@Nullable private final Hash128 key;

		private final Hash128 fingerprint;

		private State state;

		private long endedNanos;

		@Nullable private StoredResponse response;

		private RecordedRequest(Hash128 id, @Nullable Hash128 key, Hash128 fingerprint, State state) {
			this.id = id;
			this.key = key;
			this.fingerprint = fingerprint;
			this.state = state;
		}

		private RegistrationResult registrationResult() {
			return switch (this.state) {
				case RECEIVED, CLAIMED, HANDED_OVER -> new RegistrationResult.Running();
				case RAN -> (this.response != null) ? new RegistrationResult.Ran(this.response)
						: new RegistrationResult.OutcomeUnknown();
				case OUTCOME_UNKNOWN -> new RegistrationResult.OutcomeUnknown();
				case TOMBSTONE -> new RegistrationResult.Tombstoned();
			};
		}

		private Resolution resolution() {
			return switch (this.state) {
				case RECEIVED, CLAIMED, HANDED_OVER -> new Resolution.Running();
				case RAN -> (this.response != null) ? new Resolution.Ran(this.response) : new Resolution.Unknown();
				case OUTCOME_UNKNOWN -> new Resolution.Unknown();
				case TOMBSTONE -> new Resolution.NotRun();
			};
		}

	}

}
