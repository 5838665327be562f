package org.baobabknot.agent;

import org.baobabknot.admission.Decision;
import org.baobabknot.admission.Observation;

/**
 * The slot of one admitted request. Only the first release has an effect. Used on one
 * event loop.
 */
final class RequestSlot {

	private final AgentContext context;

	private final Decision.Admitted decision;

	private final long startNanos;

	private long firstByteNanos;

	private boolean released;

	RequestSlot(AgentContext context, Decision.Admitted decision) {
		this.context = context;
		this.decision = decision;
		this.startNanos = context.node().now();
	}

	long incarnation() {
		return this.decision.incarnation();
	}

	void recordFirstByte() {
		this.firstByteNanos = this.context.node().now();
	}

	void releaseHealthy() {
		release(Observation.healthy(this.decision, Math.max(1, this.firstByteNanos - this.startNanos)));
	}

	void releaseFailed() {
		release(Observation.failed(this.decision));
	}

	void releaseNeutral() {
		release(Observation.neutral(this.decision));
	}

	private void release(Observation observation) {
		if (!this.released) {
			this.released = true;
			this.context.admission().finish(observation);
		}
	}

}
