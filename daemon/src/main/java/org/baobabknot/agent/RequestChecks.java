package org.baobabknot.agent;

import java.util.Optional;

import org.baobabknot.daemon.ProcessContext;
import org.baobabknot.protocol.generated.RefusalReason;
import org.baobabknot.protocol.generated.RequestStart;
import org.baobabknot.record.Hash128;
import org.baobabknot.rules.Priority;
import org.baobabknot.rules.RuleSet;

/**
 * Checks a request against the rules in force and the identity of this agent.
 */
final class RequestChecks {

	private RequestChecks() {
	}

	/**
	 * Returns whether the entry or the rules mark a request as non-idempotent.
	 * @param start the request
	 * @param rules the rules in force
	 * @return whether the request must run at most once
	 */
	static boolean isNonIdempotent(RequestStart start, RuleSet rules) {
		return !start.getIdempotent() || !rules.idempotent(start.getService(), start.getMethod(), start.getPath());
	}

	static Optional<Refusal> refusal(RequestStart start, ProcessContext process, String service) {
		RuleSet rules = process.configuration().rules();
		if (start.getRequestId().size() != Hash128.BYTES) {
			return refuse(RefusalReason.REFUSAL_UNSPECIFIED, "expected a request id of 16 bytes");
		}
		if (!start.getService().equals(service)) {
			return refuse(RefusalReason.UNKNOWN_SERVICE, "this agent serves " + service);
		}
		if (start.getAgentIncarnation() != 0 && start.getAgentIncarnation() != process.incarnation()) {
			return refuse(RefusalReason.WRONG_INCARNATION, "the agent has restarted");
		}
		if (!rules.inService(process.settings().failureDomain())) {
			return refuse(RefusalReason.REFUSED_DOMAIN_OUT, process.settings().failureDomain() + " is out of service");
		}
		if (!rules.servesWorkspace(service, start.getWorkspace())) {
			if (start.getRulesRevision() > process.configuration().revision()) {
				return refuse(RefusalReason.REFUSED_UNAVAILABLE, "the rules of this agent are older than the entry's");
			}
			return refuse(RefusalReason.WORKSPACE_NOT_SERVED, "no rule lets the workspace use " + service);
		}
		// An entry that treats the request as idempotent could send it to several agents.
		if (start.getIdempotent() && !rules.idempotent(service, start.getMethod(), start.getPath())) {
			return refuse(RefusalReason.REFUSED_UNAVAILABLE,
					"the entry does not know that the request is not idempotent");
		}
		return Optional.empty();
	}

	private static Optional<Refusal> refuse(RefusalReason reason, String detail) {
		return Optional.of(Refusal.of(reason, detail));
	}

	static org.baobabknot.admission.QueuePriority priority(RequestStart start, RuleSet rules) {
		Priority ceiling = rules.priorityCeiling(start.getWorkspace());
		return switch (start.getPriority()) {
			case HIGH -> toAdmissionPriority(ceiling);
			case LOW -> org.baobabknot.admission.QueuePriority.LOW;
			default -> (ceiling == Priority.LOW) ? org.baobabknot.admission.QueuePriority.LOW
					: org.baobabknot.admission.QueuePriority.NORMAL;
		};
	}

	private static org.baobabknot.admission.QueuePriority toAdmissionPriority(Priority ceiling) {
		return switch (ceiling) {
			case HIGH -> org.baobabknot.admission.QueuePriority.HIGH;
			case NORMAL -> org.baobabknot.admission.QueuePriority.NORMAL;
			case LOW -> org.baobabknot.admission.QueuePriority.LOW;
		};
	}

}
