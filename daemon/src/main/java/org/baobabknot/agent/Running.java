package org.baobabknot.agent;

import org.baobabknot.admission.AdmissionDecision;
import org.baobabknot.admission.RequestObservation;

/**
 * The slot of one admitted request, which is given back exactly once. Used on one event
 * loop.
 */
final class Running {

	private final AgentParts parts;

	private final AdmissionDecision.Admitted decision;

	private final long startNanos;

	private long firstByteNanos;

	private boolean ended;

	Running(AgentParts parts, AdmissionDecision.Admitted decision) {
		this.parts = parts;
		this.decision = decision;
		this.startNanos = parts.node().nowNanos();
	}

	long incarnation() {
		return this.decision.incarnation();
	}

	void firstByte() {
		this.firstByteNanos = this.parts.node().nowNanos();
	}

	void healthy() {
		end(RequestObservation.healthy(this.decision, Math.max(1, this.firstByteNanos - this.startNanos)));
	}

	void failed() {
		end(RequestObservation.failed(this.decision));
	}

	void neutral() {
		end(RequestObservation.neutral(this.decision));
	}

	private void end(RequestObservation observation) {
		if (!this.ended) {
			this.ended = true;
			this.parts.admission().finished(observation);
		}
	}

}
