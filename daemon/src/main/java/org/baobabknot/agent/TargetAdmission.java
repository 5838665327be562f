package org.baobabknot.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;

import org.baobabknot.admission.AdmissionDecision;
import org.baobabknot.admission.CloseReason;
import org.baobabknot.admission.FairQueue;
import org.baobabknot.admission.OfferResult;
import org.baobabknot.admission.PollResult;
import org.baobabknot.admission.QueuedRequest;
import org.baobabknot.admission.RequestObservation;
import org.baobabknot.admission.TargetLimiter;
import org.baobabknot.limit.LimitStatement;
import org.baobabknot.protocol.generated.RefusalReason;

/**
 * Admits requests to the target: queues them and starts them as far as the limiter
 * allows. Listeners are called without a lock held.
 */
final class TargetAdmission implements AdmissionGate {

	private final TargetLimiter limiter;

	private final FairQueue<AdmissionListener> queue;

	private final LongSupplier clock;

	private final Timer timer;

	private final AtomicBoolean startScheduled = new AtomicBoolean();

	private final List<CompletableFuture<Void>> pendingDrains = new ArrayList<>();

	TargetAdmission(TargetLimiter limiter, FairQueue<AdmissionListener> queue, LongSupplier nanos, Timer timer) {
		this.limiter = limiter;
		this.queue = queue;
		this.clock = nanos;
		this.timer = timer;
	}

	/**
	 * Returns the refusal of a request that would be refused at once, so that no work is
	 * done for it.
	 * @param workspace workspace of the request
	 * @return the refusal, or empty when the request can be queued
	 */
	Optional<Refusal> immediateRefusal(String workspace) {
		Optional<CloseReason> closed = this.limiter.closeReason();
		if (closed.isPresent()) {
			return closed.map(Refusal::admissionClosed);
		}
		return this.queue.wouldRefuse(workspace)
				? Optional.of(Refusal.retryLater(RefusalReason.QUEUE_FULL, "queue is full")) : Optional.empty();
	}

	/**
	 * Queues a request and starts the queued requests that the limiter allows.
	 * @param waiting the request; its listener receives the decision
	 */
	void offer(QueuedRequest<AdmissionListener> waiting) {
		long now = this.clock.getAsLong();
		if (now + this.limiter.statedWaitNanos(this.queue.size(), now) - waiting.deadlineNanos() > 0) {
			waiting.item()
				.onRefused(Refusal.retryLater(RefusalReason.QUEUE_FULL,
						"the target takes no more requests before the deadline"));
			return;
		}
		OfferResult<AdmissionListener> offer = this.queue.offer(waiting);
		if (offer instanceof OfferResult.Refused<AdmissionListener> refused) {
			RefusalReason reason = (refused.reason() == OfferResult.Reason.FULL) ? RefusalReason.QUEUE_FULL
					: RefusalReason.WORKSPACE_OVER_SHARE;
			waiting.item().onRefused(Refusal.retryLater(reason, "queue is full"));
			return;
		}
		((OfferResult.Queued<AdmissionListener>) offer).displaced()
			.ifPresent((displaced) -> displaced.item()
				.onRefused(Refusal.retryLater(RefusalReason.WORKSPACE_OVER_SHARE,
						"queue is full and other workspaces have fewer requests in it")));
		startQueued();
	}

	boolean tryRemove(QueuedRequest<AdmissionListener> waiting) {
		return this.queue.tryRemove(waiting);
	}

	// Starts queued requests as far as the limiter allows. Polls the queue again after an
	// unused slot was returned, because a request may have been queued in the meantime.
	void startQueued() {
		while (this.queue.size() > 0) {
			long now = this.clock.getAsLong();
			AdmissionDecision decision = this.limiter.tryStart(now);
			if (decision instanceof AdmissionDecision.Refused rejected) {
				rejected.closeReason().ifPresent((reason) -> refuseAll(Refusal.admissionClosed(reason)));
				if (rejected.reason() == AdmissionDecision.Reason.RATE_LIMITED) {
					startLater(rejected.retryAfterMillis());
				}
				return;
			}
			AdmissionDecision.Admitted admitted = (AdmissionDecision.Admitted) decision;
			PollResult<AdmissionListener> poll = this.queue.poll(now);
			if (poll.next().isEmpty()) {
				finish(RequestObservation.neutral(admitted));
			}
			for (QueuedRequest<AdmissionListener> expired : poll.expired()) {
				expired.item().onRefused(Refusal.of(RefusalReason.DEADLINE_PASSED, "deadline passed in the queue"));
			}
			poll.next().ifPresent((next) -> next.item().onAdmitted(admitted));
		}
	}

	private void startLater(long delayMs) {
		if (this.startScheduled.compareAndSet(false, true)) {
			this.timer.schedule(() -> {
				this.startScheduled.set(false);
				startQueued();
			}, delayMs);
		}
	}

	/**
	 * Takes into account what the target states about the requests that it takes.
	 * @param statement the statement
	 */
	void recordLimit(LimitStatement statement) {
		this.limiter.recordLimit(statement);
	}

	private void refuseAll(Refusal refusal) {
		this.queue.removeAll().forEach((waiting) -> waiting.item().onRefused(refusal));
	}

	/**
	 * Ends an admitted request and starts queued ones. Must be called exactly once for
	 * each admitted request.
	 * @param observation how the request ended
	 */
	void finish(RequestObservation observation) {
		this.limiter.finish(observation, this.clock.getAsLong());
		completeDrains();
		startQueued();
	}

	private void completeDrains() {
		if (this.limiter.running() > 0) {
			return;
		}
		List<CompletableFuture<Void>> completed;
		synchronized (this.pendingDrains) {
			completed = new ArrayList<>(this.pendingDrains);
			this.pendingDrains.clear();
		}
		completed.forEach((drain) -> drain.complete(null));
	}

	@Override
	public void close(CloseReason reason) {
		this.limiter.close(reason);
		refuseAll(Refusal.admissionClosed(reason));
	}

	@Override
	public CompletableFuture<Void> whenDrained() {
		CompletableFuture<Void> drain = new CompletableFuture<>();
		synchronized (this.pendingDrains) {
			this.pendingDrains.add(drain);
		}
		completeDrains();
		return drain;
	}

	@Override
	public void reopen(CloseReason reason) {
		this.limiter.open(reason, this.clock.getAsLong());
		startQueued();
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

	/**
	 * Runs tasks later.
	 */
	interface Timer {

		/**
		 * Runs a task once.
		 * @param task the task
		 * @param delayMs delay in ms
		 */
		void schedule(Runnable task, long delayMs);

	}

}
