package org.baobabknot.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

import org.baobabknot.admission.AdmissionDecision;
import org.baobabknot.admission.CloseReason;
import org.baobabknot.admission.FairQueue;
import org.baobabknot.admission.OfferResult;
import org.baobabknot.admission.PollResult;
import org.baobabknot.admission.QueuedRequest;
import org.baobabknot.admission.RequestObservation;
import org.baobabknot.admission.TargetLimiter;
import org.baobabknot.protocol.generated.RefusalReason;

/**
 * Admission of requests to the target: the queue in front of the limiter. Requests are
 * told without a lock held.
 */
final class Admission implements AdmissionGate {

	private final TargetLimiter limiter;

	private final FairQueue<Candidate> queue;

	private final LongSupplier nanos;

	private final List<CompletableFuture<Void>> drains = new ArrayList<>();

	Admission(TargetLimiter limiter, FairQueue<Candidate> queue, LongSupplier nanos) {
		this.limiter = limiter;
		this.queue = queue;
		this.nanos = nanos;
	}

	/**
	 * Returns whether a request would be refused at once, before work is done for it.
	 * @param workspace workspace of the request
	 * @return the refusal, or nothing when it may wait
	 */
	Optional<Refusal> refusal(String workspace) {
		Optional<CloseReason> closed = this.limiter.closeReason();
		if (closed.isPresent()) {
			return closed.map(Refusal::closed);
		}
		return this.queue.wouldRefuse(workspace) ? Optional.of(Refusal.full(RefusalReason.QUEUE_FULL, "queue is full"))
				: Optional.empty();
	}

	/**
	 * Queues a request and starts what can start now.
	 * @param waiting the request, which is told the decision
	 */
	void offer(QueuedRequest<Candidate> waiting) {
		OfferResult<Candidate> offer = this.queue.offer(waiting);
		if (offer instanceof OfferResult.Refused<Candidate> refused) {
			RefusalReason reason = (refused.reason() == OfferResult.Reason.FULL) ? RefusalReason.QUEUE_FULL
					: RefusalReason.WORKSPACE_OVER_SHARE;
			waiting.item().refused(Refusal.full(reason, "queue is full"));
			return;
		}
		((OfferResult.Queued<Candidate>) offer).displaced()
			.ifPresent((displaced) -> displaced.item()
				.refused(Refusal.full(RefusalReason.WORKSPACE_OVER_SHARE,
						"queue is full and other workspaces have fewer requests in it")));
		pump();
	}

	boolean tryRemove(QueuedRequest<Candidate> waiting) {
		return this.queue.tryRemove(waiting);
	}

	// Starts waiting requests as far as the limiter allows. The queue is looked at again
	// after a slot was given back unused, because a request may have arrived between.
	void pump() {
		while (this.queue.size() > 0) {
			long now = this.nanos.getAsLong();
			AdmissionDecision decision = this.limiter.tryStart(now);
			if (decision instanceof AdmissionDecision.Refused rejected) {
				rejected.closeReason().ifPresent((reason) -> refuseAll(Refusal.closed(reason)));
				return;
			}
			AdmissionDecision.Admitted admitted = (AdmissionDecision.Admitted) decision;
			PollResult<Candidate> poll = this.queue.poll(now);
			if (poll.next().isEmpty()) {
				finished(RequestObservation.neutral(admitted));
			}
			for (QueuedRequest<Candidate> expired : poll.expired()) {
				expired.item().refused(Refusal.of(RefusalReason.DEADLINE_PASSED, "deadline passed in the queue"));
			}
			poll.next().ifPresent((next) -> next.item().admitted(admitted));
		}
	}

	private void refuseAll(Refusal refusal) {
		this.queue.removeAll().forEach((waiting) -> waiting.item().refused(refusal));
	}

	/**
	 * Ends an admitted request. Must be called exactly once for each.
	 * @param observation how it ended
	 */
	void finished(RequestObservation observation) {
		this.limiter.finish(observation, this.nanos.getAsLong());
		completeDrains();
		pump();
	}

	private void completeDrains() {
		if (this.limiter.running() > 0) {
			return;
		}
		List<CompletableFuture<Void>> completed;
		synchronized (this.drains) {
			completed = new ArrayList<>(this.drains);
			this.drains.clear();
		}
		completed.forEach((drain) -> drain.complete(null));
	}

	@Override
	public void close(CloseReason reason) {
		this.limiter.close(reason);
		refuseAll(Refusal.closed(reason));
	}

	@Override
	public CompletableFuture<Void> drained() {
		CompletableFuture<Void> drain = new CompletableFuture<>();
		synchronized (this.drains) {
			this.drains.add(drain);
		}
		completeDrains();
		return drain;
	}

	@Override
	public void reopen(CloseReason reason) {
		this.limiter.open(reason, this.nanos.getAsLong());
		pump();
	}

	@Override
	public int running() {
		return this.limiter.running();
	}

	int queued() {
		return this.queue.size();
	}

	TargetLimiter limiter() {
		return this.limiter;
	}

}
