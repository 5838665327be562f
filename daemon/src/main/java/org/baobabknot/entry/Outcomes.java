package org.baobabknot.entry;

import org.baobabknot.protocol.generated.Refused;
import org.baobabknot.retry.AttemptOutcome;
import org.baobabknot.retry.RetryDecision;
import org.jspecify.annotations.Nullable;

/**
 * Maps what agents answer to the outcomes of attempts, and the end of an exchange to the
 * problem that the caller sees.
 */
final class Outcomes {

	// A second agent may have room; more attempts under overload only add load and
	// delay the refusal.
	private static final int ATTEMPTS_AT_FULL_QUEUES = 2;

	private Outcomes() {
	}

	static AttemptOutcome of(Refused refused, int attempt) {
		return switch (refused.getReason()) {
			case WORKSPACE_NOT_SERVED, KEY_REUSED, KEY_RUNNING, DEADLINE_PASSED, OVERSIZED, CLAIM_UNAVAILABLE ->
				AttemptOutcome.REFUSED_EVERYWHERE;
			case QUEUE_FULL, WORKSPACE_OVER_SHARE ->
				(attempt < ATTEMPTS_AT_FULL_QUEUES) ? AttemptOutcome.REFUSED : AttemptOutcome.REFUSED_EVERYWHERE;
			default -> AttemptOutcome.REFUSED;
		};
	}

	static Problem problem(RetryDecision.Reason reason, AttemptOutcome outcome, @Nullable Problem refusal,
			String detail) {
		if (outcome.notRun() || outcome == AttemptOutcome.REFUSED_EVERYWHERE) {
			return (refusal != null) ? refusal
					: Problem.notRun(org.baobabknot.protocol.generated.RefusalReason.REFUSED_UNAVAILABLE, detail, 0);
		}
		return switch (reason) {
			case UNKNOWN -> Problem.unknown(detail);
			case DEADLINE -> Problem.unknown("deadline passed; last attempt: " + detail);
			default -> Problem.failed(detail);
		};
	}

}
