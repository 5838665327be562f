package org.baobabknot.agent;

import org.baobabknot.admission.AdmissionDecision;
import org.baobabknot.admission.RequestObservation;

/**
 * The slot of one admitted request. Only the first release has an effect. Used on one
 * event loop.
 */
final class RequestSlot {

	private final AgentContext context;

	private final AdmissionDecision.Admitted decision;

	private final long startNanos;

	private long firstByteNanos;

	private boolean released;

	RequestSlot(AgentContext context, AdmissionDecision.Admitted decision) {
		this.context = context;
		this.decision = decision;
		this.startNanos = context.node().nowNanos();
	}

	long incarnation() {
		return this.decision.incarnation();
	}

	void recordFirstByte() {
		this.firstByteNanos = this.context.node().nowNanos();
	}

	void releaseHealthy() {
		release(RequestObservation.healthy(this.decision, Math.max(1, this.firstByteNanos - this.startNanos)));
	}

	void releaseFailed() {
		release(RequestObservation.failed(this.decision));
	}

	void releaseNeutral() {
		release(RequestObservation.neutral(this.decision));
	}

	private void release(RequestObservation observation) {
		if (!this.released) {
			this.released = true;
			this.context.admission().finish(observation);
		}
	}

}
